#pragma once

/// @file
/// Explains what happened to one request, from the log lines of the instances.

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodport {

/// One decision about the request, or a change of belief that it rests on.
struct TimelineEntry {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// What was decided or believed, in words.
  std::string text;
  /// The belief behind a decision, with its version and age; empty for changes of belief.
  std::string basis;
};

/// Collects log lines, in any order of the instances, and explains one request.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Takes one log line; other text is counted and passed over. Complexity: linear in its length.
  void Add(std::string_view line);

  /// Whether any line names the request.
  bool found() const noexcept { return !decisions_.empty(); }
  /// Lines that are no log lines.
  std::uint64_t unreadable_lines() const noexcept { return unreadable_lines_; }
  /// Lines that the instances of the request left out by their bounds.
  std::uint64_t dropped_lines() const;

  /// The decisions in their order, each after the changes of belief that it rests on.
  std::vector<TimelineEntry> Lines() const;
  /// Why the request ended as it did, in one sentence.
  std::string Cause() const;

 private:
  struct LogEntry {
    std::int64_t time_ms = 0;
    std::uint64_t line_number = 0;
    nlohmann::json fields;
  };

  /// Changes of belief of an instance in the time before `decision` that concern it.
  std::vector<const LogEntry*> StateChangesBefore(const LogEntry& decision) const;
  const LogEntry* LastDecision(std::string_view event) const;

  std::string request_id_;
  std::vector<LogEntry> decisions_;
  /// By instance: recent changes of belief.
  std::map<std::string, std::deque<LogEntry>> state_changes_;
  std::map<std::string, std::uint64_t> dropped_lines_;
  std::uint64_t line_count_ = 0;
  std::uint64_t unreadable_lines_ = 0;
};

}  // namespace dogwoodport
