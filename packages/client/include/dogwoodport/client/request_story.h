#pragma once

/// @file
/// Reconstructs the processing of one request from the log lines of the instances.

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodport {

/// A routing decision about the request, or a state change of the instance that preceded it.
struct TimelineEntry {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// Description of the decision or state change.
  std::string text;
  /// Data that the decision was based on, with its version and age; empty for state changes.
  std::string basis;
};

/// Collects log lines of the instances in any order and explains the outcome of one request.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Adds one log line. Other text is counted and skipped. Complexity: linear in its length.
  void Add(std::string_view line);

  /// Returns whether any line records a decision about the request.
  bool found() const noexcept { return !decisions_.empty(); }
  /// Returns the number of lines that are not log lines.
  std::uint64_t unreadable_lines() const noexcept { return unreadable_lines_; }
  /// Returns the number of log lines dropped at the log limits of the instances that handled the
  /// request.
  std::uint64_t dropped_lines() const;

  /// Returns the decisions in order, each preceded by the state changes that it may depend on.
  std::vector<TimelineEntry> Lines() const;
  /// Returns the reason for the outcome of the request as text.
  std::string Cause() const;

 private:
  struct LogEntry {
    std::int64_t time_ms = 0;
    std::uint64_t line_number = 0;
    nlohmann::json fields;
  };

  /// Returns the recent state changes of the same instance that are relevant to `decision`.
  std::vector<const LogEntry*> StateChangesBefore(const LogEntry& decision) const;
  const LogEntry* LastDecision(std::string_view event) const;

  std::string request_id_;
  std::vector<LogEntry> decisions_;
  /// Recent state changes by instance.
  std::map<std::string, std::deque<LogEntry>> state_changes_;
  std::map<std::string, std::uint64_t> dropped_lines_;
  std::uint64_t line_count_ = 0;
  std::uint64_t unreadable_lines_ = 0;
};

}  // namespace dogwoodport
