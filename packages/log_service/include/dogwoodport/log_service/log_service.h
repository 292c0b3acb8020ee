#pragma once

/// @file
/// The platform's append-only log behind one interface. The real protocol will be stated later.

#include <cstdint>
#include <string>
#include <vector>

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/log_page.h"

namespace dogwoodport {

/// A call of the log service failed.
class LogServiceError : public Error {
 public:
  LogServiceError(LogFailure failure, const std::string& what) : Error(what), failure_(failure) {}

  LogFailure failure() const noexcept { return failure_; }

 private:
  LogFailure failure_;
};

/// Whether the platform has an instance as live.
enum class ListedState { kLive, kLeaving };

/// An entry of the platform's list of instances, which lags.
struct ListedInstance {
  std::string id;
  std::string data_centre;
  ListedState state = ListedState::kLive;
};

/// One log. All calls block, may be called from several threads, and throw `LogServiceError`.
///
/// @code
/// const LogPage page = log.Read(state.next_offset(), 500);
/// @endcode
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends records in order and returns the offset of the first. After a failure other than
  /// `kUnreachable` they may be in the log all the same.
  virtual std::uint64_t Append(const std::vector<std::string>& records) = 0;

  /// Returns at most `max` records from offset `from`. Fails with `kExpired` when `from` is below
  /// the first retained offset.
  virtual LogPage Read(std::uint64_t from, std::uint32_t max) = 0;

  /// Returns the first offset that the log still has.
  virtual std::uint64_t FirstRetained() = 0;

  /// Returns the platform's list of instances.
  virtual std::vector<ListedInstance> ListInstances() = 0;
};

}  // namespace dogwoodport
