#pragma once

/// @file
/// Base of the exception hierarchy. Each layer derives its own type and wraps errors of the layer
/// below with `std::throw_with_nested`.

#include <stdexcept>
#include <string>

namespace dogwoodport {

/// Base of all exceptions that dogwoodport throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the message of `error` followed by those of the exceptions nested in it, separated by ":
/// ".
std::string DescribeNested(const std::exception& error);

}  // namespace dogwoodport
