#pragma once

/// @file
/// Exception type of the network layer.

#include <stdexcept>

namespace dogwoodport::net {

/// Thrown if a socket cannot be opened, bound or used. The message contains the address and the
/// cause.
class NetError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace dogwoodport::net
