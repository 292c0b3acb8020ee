#pragma once

/// @file
/// Reader of one feed of the metadata store.

#include <functional>
#include <memory>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::fleet {

/// Settings of a feed reader.
struct FeedSettings {
  Feed feed = Feed::kOperators;
  const char* name = "";
  /// Time for which the store may hold a read open until a record arrives. If zero, reads return
  /// immediately.
  Duration long_poll_wait{0};
  /// Time between the end of a read and the next one.
  Duration read_pause{0};
  /// Time without pushes from the coordinator after which the reader reads from the store itself.
  Duration push_timeout{0};
};

/// How records of a feed reached this instance.
enum class FeedSource {
  kRead,  ///< Read from the store by this instance.
  kPush,  ///< Read by the coordinator and pushed.
};

/// Returns the name of a source for logs.
const char* NameOf(FeedSource source) noexcept;

/// Records delivered by a reader.
struct FeedUpdate {
  FeedSource source = FeedSource::kRead;
  /// If set, `records` contains the newest record of each key, otherwise the records that follow
  /// those delivered before.
  bool complete = false;
  const std::vector<StoreRecord>& records;
};

/// Delivers all records of a feed in order, starting with the newest record of each key.
class FeedReader {
 public:
  using Handler = std::function<void(const FeedUpdate&)>;
  /// Called after each read from the store with the range of offsets that it covered. `complete`
  /// has the same meaning as for the handler.
  using ReadObserver = std::function<void(std::uint64_t from, std::uint64_t end, bool complete)>;

  FeedReader(net::EventLoop& loop, MetadataStore& store, EventLog& log, FeedSettings settings,
             Handler handler, ReadObserver on_read);
  ~FeedReader();
  FeedReader(const FeedReader&) = delete;
  FeedReader& operator=(const FeedReader&) = delete;

  void Start();

  /// Accepts a part of the feed that the coordinator has read: all relevant records from offset
  /// `from` up to `end`. `verified_at` refers to the clock of this instance.
  void AcceptPush(std::uint64_t from, std::uint64_t end, TimePoint verified_at,
                  const std::vector<StoreRecord>& records);

  /// Sets whether this reader always reads from the store, because other instances depend on it.
  void SetAlwaysReads(bool always) noexcept { always_reads_ = always; }

  /// Sets an additional pause between reads. It limits the load on the store in large fleets when
  /// all instances read from it.
  void SetExtraPause(Duration pause) noexcept { extra_pause_ = pause; }

  std::uint64_t next_offset() const noexcept { return next_offset_; }

  /// Time up to which all records of the feed have been handled.
  TimePoint verified_at() const noexcept { return verified_at_; }
  bool loaded() const noexcept { return loaded_; }

 private:
  /// Calls the handler. Logs its exceptions.
  void Deliver(const FeedUpdate& update);
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
  TimePoint unavailable_since_{};
  std::uint32_t failures_ = 0;
  net::TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dogwoodport::fleet
