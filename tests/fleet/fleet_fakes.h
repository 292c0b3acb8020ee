#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/state/metadata_store.h"

namespace dogwoodport::fleet {

/// Counts log lines by event and keeps the latest fields of each event.
class CountingLog : public EventLog {
 public:
  void Write(LogLevel /*level*/, std::string_view event, const nlohmann::json& fields) override {
    ++events[std::string(event)];
    last[std::string(event)] = fields;
  }
  bool Wants(LogLevel /*level*/) override { return true; }

  std::map<std::string, int> events;
  std::map<std::string, nlohmann::json> last;
};

/// An in-memory store. Responses are delivered when the test calls `Deliver`.
class MemoryStore : public MetadataStore {
 public:
  /// Behaviour of the store from now on.
  enum class Mode { kWorks, kRefuses, kLosesResponses };

  void Read(Feed feed, std::uint64_t from, Duration /*wait*/,
            std::function<void(ReadOutcome)> done) override {
    ++calls_;
    Log& log = logs_[feed];
    if (mode != Mode::kWorks) return Respond([done] { done(StoreUnavailable{"refused"}); });
    if (from < log.first) return Respond([done] { done(StoreTrimmed{}); });
    StoreRecords result;
    result.end = log.end();
    for (const StoreRecord& it : log.records) {
      if (it.offset >= from) result.records.push_back(it);
    }
    Respond([done, result] { done(result); });
  }

  void ReadNewest(Feed feed, std::function<void(ReadOutcome)> done) override {
    ++calls_;
    if (mode != Mode::kWorks) return Respond([done] { done(StoreUnavailable{"refused"}); });
    StoreRecords result;
    result.end = logs_[feed].end();
    for (const auto& [key, record] : logs_[feed].newest) {
      if (record.value) result.records.push_back(record);
    }
    Respond([done, result] { done(result); });
  }

  void Append(Feed feed, const std::string& key, const std::string& value,
              std::optional<std::uint64_t> expected_end,
              std::function<void(AppendOutcome)> done) override {
    ++calls_;
    if (mode == Mode::kRefuses) return Respond([done] { done(StoreUnavailable{"refused"}); });
    const std::uint64_t end = logs_[feed].end();
    if (expected_end && *expected_end != end) {
      return Respond([done, end] { done(AppendConflict{end}); });
    }
    Put(feed, key, value);
    if (mode == Mode::kLosesResponses) return Respond([done] { done(StoreUnavailable{"lost"}); });
    Respond([done, end] { done(Appended{end}); });
  }

  std::uint64_t calls() const noexcept override { return calls_; }

  void Put(Feed feed, const std::string& key, std::optional<std::string> value) {
    Log& log = logs_[feed];
    const StoreRecord record{log.end(), key, std::move(value)};
    log.records.push_back(record);
    log.newest[key] = record;
  }

  /// Deletes the records of a feed, except for the newest of each key.
  void Trim(Feed feed) {
    Log& log = logs_[feed];
    log.first = log.end();
    log.records.clear();
  }

  /// Answers a call that did not reach the store.
  void Refuse(std::function<void()> response) { Respond(std::move(response)); }

  /// Delivers the pending responses. Returns whether there were any.
  bool Deliver() {
    if (pending_responses_.empty()) return false;
    auto responses = std::exchange(pending_responses_, {});
    for (const auto& it : responses) it();
    return true;
  }

  Mode mode = Mode::kWorks;

 private:
  struct Log {
    std::uint64_t first = 0;
    std::deque<StoreRecord> records;
    std::map<std::string, StoreRecord> newest;
    std::uint64_t end() const { return first + records.size(); }
  };

  void Respond(std::function<void()> response) {
    pending_responses_.push_back(std::move(response));
  }

  std::map<Feed, Log> logs_;
  std::vector<std::function<void()>> pending_responses_;
  std::uint64_t calls_ = 0;
};

}  // namespace dogwoodport::fleet
