#pragma once

#include "dogwoodport/core/error.h"

namespace dogwoodport {

/// The entry could not be opened, or a message on an HTTP connection is broken.
class GatewayError : public Error {
 public:
  using Error::Error;
};

}  // namespace dogwoodport
