#pragma once

/// @file
/// Base class of all exceptions. Each layer derives its own type from it and wraps exceptions of
/// the layer below with `std::throw_with_nested`.

#include <stdexcept>
#include <string>

namespace dogwoodport {

/// Base class of all exceptions that dogwoodport throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the message of `error` followed by the messages of the exceptions nested in it,
/// outermost first. Messages are separated by a colon and a space.
std::string DescribeNested(const std::exception& error);

}  // namespace dogwoodport
