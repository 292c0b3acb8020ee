#pragma once

#include "dogwoodport/core/error.h"

namespace dogwoodport {

/// A message could not be decoded, or the transport between instances could not be set up.
class MeshError : public Error {
 public:
  using Error::Error;
};

}  // namespace dogwoodport
