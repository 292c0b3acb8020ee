#pragma once

/// @file
/// Exception class and exit statuses of `dogwoodctl`.

#include <string>

#include "dogwoodport/core/error.h"

namespace dogwoodport {

/// Exit status of `dogwoodctl`; docs/dogwoodctl.md describes them.
enum class ExitStatus : int {
  kOk = 0,
  /// Refused or failed: nothing was changed.
  kFailed = 1,
  /// Error in arguments or settings.
  kUsage = 2,
  /// The log service or all instances are unreachable.
  kUnreachable = 3,
  /// The change conflicts with another change that took effect first.
  kConflict = 4,
};

/// Thrown if a command fails. The message is shown to the operator.
class ClientError : public Error {
 public:
  ClientError(ExitStatus status, const std::string& what) : Error(what), status_(status) {}

  ExitStatus status() const noexcept { return status_; }

 private:
  ExitStatus status_;
};

}  // namespace dogwoodport
