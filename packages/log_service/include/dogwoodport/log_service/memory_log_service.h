#pragma once

/// @file
/// A log in memory with the faults of the platform's, for tests and the simulator.

#include <deque>
#include <mutex>

#include "dogwoodport/core/types.h"
#include "dogwoodport/log_service/log_service.h"

namespace dogwoodport {

/// Faults of a `MemoryLogService`.
struct LogFaults {
  /// All calls fail with `kUnreachable`.
  bool down = false;
  /// How late answers are; the caller that models time waits for it.
  Duration delay{0};
  /// The next n appends take effect and fail with `kResponseLost`.
  std::uint32_t lost_answers = 0;
};

/// Log in memory. The first record has offset 1. Thread-safe.
class MemoryLogService : public LogService {
 public:
  /// Keeps the last `retained` records.
  explicit MemoryLogService(std::size_t retained = kDefaultRetained) : retained_(retained) {}

  std::uint64_t Append(const std::vector<std::string>& records) override;
  LogPage Read(std::uint64_t from, std::uint32_t max) override;
  std::uint64_t FirstRetained() override;
  std::vector<ListedInstance> ListInstances() override;

  void SetFaults(const LogFaults& faults);
  LogFaults faults() const;

  /// Replaces the list of instances.
  void SetInstances(std::vector<ListedInstance> instances);

  /// Changes how many records are kept; drops older ones at once.
  void SetRetained(std::size_t retained);

  /// Removes one record and leaves a hole at its offset.
  void MakeHole(std::uint64_t offset);

  static constexpr std::size_t kDefaultRetained = 1'000'000;

 private:
  void Expire();
  void CheckUp() const;
  std::uint64_t FirstRetainedLocked() const;

  mutable std::mutex mutex_;
  std::size_t retained_;
  LogFaults faults_;
  std::uint64_t next_ = 1;
  std::deque<LogRecord> records_;
  std::vector<ListedInstance> instances_;
};

}  // namespace dogwoodport
