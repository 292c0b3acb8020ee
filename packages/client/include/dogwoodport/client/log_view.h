#pragma once

/// @file
/// The control state as the client folds it from the log.

#include <cstdint>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/log_service/log_service.h"

namespace dogwoodport {

/// Folds the log from its latest snapshot, or from its first record. Errors are `ClientError`:
/// `kUnreachable` when the log service fails, `kFailed` when its content cannot be folded.
///
/// @code
/// LogView view(log, unix_ms);
/// view.CatchUp();
/// const auto& config = view.state().config();
/// @endcode
class LogView {
 public:
  /// Loads the state; `unix_ms` decides which exceptions are in force. Complexity: linear in the
  /// retained records.
  LogView(LogService& log, std::int64_t unix_ms);

  /// Folds the records that were appended since.
  void CatchUp();

  const ControlState& state() const noexcept { return state_; }

 private:
  ControlState LoadSnapshot(std::uint64_t first_retained, std::int64_t unix_ms);

  LogService& log_;
  ControlState state_;
};

}  // namespace dogwoodport
