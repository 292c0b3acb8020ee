#pragma once

/// @file
/// Reads the control state from the log.

#include <cstdint>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/log_service/log_service.h"

namespace dogwoodport {

/// Builds the control state by applying the records of the log, starting at the latest snapshot or
/// at the first record. Throws `ClientError` with `kUnreachable` if the log service fails and with
/// `kFailed` if the records cannot be applied.
///
/// @code
/// LogView view(log, unix_ms);
/// view.CatchUp();
/// const auto& config = view.state().config();
/// @endcode
class LogView {
 public:
  /// Loads the state. Exceptions that have ended at the time `unix_ms` are not in force.
  /// Complexity: linear in the number of retained records.
  LogView(LogService& log, std::int64_t unix_ms);

  /// Applies the records that were appended since the last call.
  void CatchUp();

  const ControlState& state() const noexcept { return state_; }

 private:
  ControlState LoadSnapshot(std::uint64_t first_retained, std::int64_t unix_ms);

  LogService& log_;
  ControlState state_;
};

}  // namespace dogwoodport
