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
  Duration wait{0};
  /// Time from the end of a read to the next one.
  Duration pause{0};
};

/// Reads all records of a feed in their order, starting with the newest of each key.
class FeedReader {
 public:
  /// `records` holds the newest record of each key if `complete` is set, else what follows the
  /// records before. `was_away` tells that reads had failed for a while before this one.
  using Handler =
      std::function<void(const std::vector<StoreRecord>& records, bool complete, bool was_away)>;

  FeedReader(net::EventLoop& loop, MetadataStore& store, EventLog& log, FeedSettings settings,
             Handler handler);
  ~FeedReader();
  FeedReader(const FeedReader&) = delete;
  FeedReader& operator=(const FeedReader&) = delete;

  void Start();

  /// Everything that was in the feed at this time has been handled.
  TimePoint verified_at() const noexcept { return verified_at_; }
  bool loaded() const noexcept { return loaded_; }
  /// End of the latest span in which the store was unavailable, as far as this reader saw.
  TimePoint last_return_at() const noexcept { return returned_at_; }

 private:
  void Next();
  void Handle(TimePoint sent_at, bool complete, const ReadOutcome& outcome);
  void OnAvailable();
  void OnUnavailable(const StoreUnavailable& outcome);

  net::EventLoop& loop_;
  MetadataStore& store_;
  EventLog& log_;
  FeedSettings settings_;
  Handler handler_;
  std::uint64_t next_offset_ = 0;
  bool loaded_ = false;
  bool available_ = true;
  TimePoint verified_at_{};
  TimePoint returned_at_{};
  TimePoint lost_at_{};
  std::uint32_t failures_ = 0;
  net::TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dogwoodport::fleet
