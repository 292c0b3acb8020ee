#pragma once

/// @file
/// Follows one feed of the store.

#include <functional>
#include <memory>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::fleet {

/// How a feed is followed.
struct FeedSettings {
  Feed feed = Feed::kOperators;
  const char* name = "";
  /// Time for which the store may hold a read open until there is a record; zero reads at once.
  Duration long_poll_wait{0};
  /// Time from the end of a read to the next one.
  Duration read_pause{0};
  /// While parts of the feed arrive from the coordinator at least this often, the store is not
  /// read.
  Duration push_timeout{0};
};

/// Reads all records of a feed in their order, starting with the newest of each key.
class FeedReader {
 public:
  /// `records` holds the newest record of each key if `complete` is set, else what follows the
  /// records before. `was_unavailable` tells that reads had failed for a while before this one.
  using Handler = std::function<void(const std::vector<StoreRecord>& records, bool complete,
                                     bool was_unavailable)>;
  /// Called after each own read with the offsets that it covered; `complete` as for the handler.
  using ReadObserver = std::function<void(std::uint64_t from, std::uint64_t end, bool complete)>;

  FeedReader(net::EventLoop& loop, MetadataStore& store, EventLog& log, FeedSettings settings,
             Handler handler, ReadObserver on_read);
  ~FeedReader();
  FeedReader(const FeedReader&) = delete;
  FeedReader& operator=(const FeedReader&) = delete;

  void Start();

  /// Takes a part of the feed that the coordinator has read: the records from `from` up to `end`
  /// that matter, dated on this instance's clock. `was_unavailable` is what the coordinator saw of
  /// the store; what this instance saw before does not count any more.
  void AcceptPush(std::uint64_t from, std::uint64_t end, TimePoint verified_at,
                  bool was_unavailable, const std::vector<StoreRecord>& records);

  /// Whether this instance reads the store itself in any case, because the others rely on it.
  void SetAlwaysReads(bool always) noexcept { always_reads_ = always; }

  /// Sets a pause that is added between own reads, for fleets so large that all instances reading
  /// at the usual pace would be a load on the store.
  void SetExtraPause(Duration pause) noexcept { extra_pause_ = pause; }

  std::uint64_t next_offset() const noexcept { return next_offset_; }

  /// Everything that was in the feed at this time has been handled.
  TimePoint verified_at() const noexcept { return verified_at_; }
  bool loaded() const noexcept { return loaded_; }
  /// End of the latest span in which the store was unavailable, as far as this reader saw.
  TimePoint last_recovery_at() const noexcept { return last_recovery_at_; }

 private:
  void ReadNext();
  void ScheduleNext(Duration pause);
  bool ReceivesPushes() const;
  void OnReadDone(TimePoint sent_at, bool complete, const ReadOutcome& outcome);
  void OnAvailable();
  void OnUnavailable(const StoreUnavailable& outcome);

  net::EventLoop& loop_;
  MetadataStore& store_;
  EventLog& log_;
  FeedSettings settings_;
  Handler handler_;
  ReadObserver on_read_;
  std::uint64_t next_offset_ = 0;
  bool loaded_ = false;
  bool available_ = true;
  bool always_reads_ = false;
  Duration extra_pause_{0};
  bool reading_ = false;
  TimePoint last_push_at_{};
  TimePoint verified_at_{};
  TimePoint last_recovery_at_{};
  TimePoint unavailable_since_{};
  std::uint32_t failures_ = 0;
  net::TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dogwoodport::fleet
