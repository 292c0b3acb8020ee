#pragma once

/// @file
/// Error of the network layer.

#include <stdexcept>

namespace dogwoodport::net {

/// A socket could not be opened, bound or used. The message names the address and the cause.
class NetError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace dogwoodport::net
