#include "dogwoodport/core/error.h"

#include <exception>

namespace dogwoodport {

std::string DescribeNested(const std::exception& error) {
  std::string text = error.what();
  try {
    std::rethrow_if_nested(error);
  } catch (const std::exception& cause) {
    text += ": " + DescribeNested(cause);
  }
  return text;
}

}  // namespace dogwoodport
