#pragma once

/// @file
/// Test fixture for `dogwoodctl` with an in-memory log, fake instances and virtual time.

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "dogwoodport/client/cli.h"
#include "dogwoodport/client/client_error.h"
#include "dogwoodport/core/control_state.h"
#include "dogwoodport/log_service/memory_log_service.h"

namespace dogwoodport {

/// Forwards calls to a log and runs the hooks of the test once, before and after the next append.
class HookedLog : public LogService {
 public:
  explicit HookedLog(MemoryLogService& log) : log_(log) {}

  std::uint64_t Append(const std::vector<std::string>& records) override {
    appended.insert(appended.end(), records.begin(), records.end());
    if (before_append) std::exchange(before_append, nullptr)();
    try {
      const std::uint64_t offset = log_.Append(records);
      if (after_append) std::exchange(after_append, nullptr)();
      return offset;
    } catch (const LogServiceError&) {
      if (after_append) std::exchange(after_append, nullptr)();
      throw;
    }
  }
  LogPage Read(std::uint64_t from, std::uint32_t max) override { return log_.Read(from, max); }
  std::uint64_t FirstRetained() override { return log_.FirstRetained(); }
  std::vector<ListedInstance> ListInstances() override { return log_.ListInstances(); }

  std::function<void()> before_append;
  std::function<void()> after_append;
  std::vector<std::string> appended;

 private:
  MemoryLogService& log_;
};

/// Returns the operator pages that the test sets. Other pages fail as unreachable, or with status
/// 401 if `rejects_requests` is set.
class FakeInstances : public InstanceClient {
 public:
  nlohmann::ordered_json Get(const InstanceAddress& instance, const std::string& path) override {
    requested_pages.push_back(instance.name + " " + path);
    const auto it = pages.find(instance.name + " " + path);
    if (it != pages.end()) return it->second;
    if (rejects_requests) throw ClientError(ExitStatus::kFailed, instance.name + ": status 401");
    throw ClientError(ExitStatus::kUnreachable, instance.name + ": connection refused");
  }

  std::map<std::string, nlohmann::ordered_json> pages;
  std::vector<std::string> requested_pages;
  bool rejects_requests = false;
};

class VirtualTimer : public Timer {
 public:
  TimePoint Now() override { return now; }
  std::int64_t UnixMs() override {
    return 1'796'000'000'000 + now.time_since_epoch().count() / 1000;
  }
  bool Sleep(Duration duration) override {
    now += duration;
    if (on_sleep) on_sleep();
    return remaining_sleeps-- > 0;
  }

  TimePoint now{};
  /// Number of further sleeps after which `Sleep` reports an interruption.
  int remaining_sleeps = 10'000;
  std::function<void()> on_sleep;
};

/// Exit status and output of a command.
struct CliResult {
  int status = 0;
  std::string out;
  std::string err;

  nlohmann::json Json() const { return nlohmann::json::parse(out); }
};

class CliFixture {
 public:
  static constexpr const char* kOldSecret = "k1.0123456789abcdef0123";
  static constexpr const char* kNewSecret = "k2.fedcba9876543210fedc";
  static constexpr const char* kOperatorSecret = "ops.4d2a9c7788";

  /// Returns the published document, which has two data centres, two accounts and two targets.
  static nlohmann::json Document();

  CliFixture();
  ~CliFixture();
  CliFixture(const CliFixture&) = delete;
  CliFixture& operator=(const CliFixture&) = delete;

  /// Runs a command with the settings of the fixture.
  CliResult Run(std::vector<std::string> args, const std::string& in = "");
  /// Like `Run`, with JSON output.
  CliResult RunJson(std::vector<std::string> args, const std::string& in = "");

  /// Writes a file to the directory of the fixture and returns its path.
  std::string Write(const std::string& name, const std::string& text) const;

  /// Appends a record written by another operator.
  void Publish(RecordBody body, const std::string& actor = "binod");

  /// Returns the control state after all records of the log.
  ControlState ReplayLog();

  /// Makes all instances report a log offset that confirms every change.
  void ConfirmAllChanges();

  MemoryLogService memory;
  std::shared_ptr<HookedLog> log;
  std::shared_ptr<FakeInstances> instances = std::make_shared<FakeInstances>();
  VirtualTimer timer;

 private:
  std::string directory_;
  std::string settings_;
  std::uint64_t next_random_ = 1000;
  std::uint64_t next_writer_ = 1;
};

}  // namespace dogwoodport
