#pragma once

/// @file
/// Keeps the control state of one instance current: decides who reads the log in a data centre,
/// relays records and snapshots, recovers from gaps, and repeats the own writes until they are read
/// back.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/log_page.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/snapshot.h"
#include "dogwoodport/core/state_messages.h"

namespace dogwoodport {

/// A reader that is caught up reads the log this often.
inline constexpr Duration kPollInterval{100'000};
/// Shortest time between two reads while records are left: 256 records per 20 ms.
inline constexpr Duration kCatchUpInterval{20'000};
inline constexpr std::uint32_t kReadMax = 256;
/// Answers can be late, so further reads are sent after this time. Four of them cover a delay of
/// 1 s without a gap.
inline constexpr Duration kOverlapInterval{250'000};
inline constexpr std::size_t kMaxReadsInFlight = 4;
/// Others take over reading when relayed records stop for this time, ...
inline constexpr Duration kReaderTimeout{500'000};
/// ... one after the other in the order of their ids.
inline constexpr Duration kReaderRankDelay{100'000};
/// When the reader itself has had no answer of the log for this time, each other instance tries the
/// log at this interval, in case only the reader is cut off from it.
inline constexpr Duration kProbeInterval{2'000'000};
/// Longest wait after failed reads; it starts at `kPollInterval` and doubles.
inline constexpr Duration kMaxBackoff{2'000'000};
/// A request for the newer state is repeated, and sent to another instance, after this time.
inline constexpr Duration kCatchUpTimeout{500'000};
/// Chunks of a snapshot per answer: 128 KB.
inline constexpr std::uint32_t kChunksPerAnswer = 4;
/// Records that each instance keeps for others.
inline constexpr std::size_t kRecentRecords = 4096;
inline constexpr std::size_t kRecentBytes = 4'000'000;
/// Bytes of records in one relay.
inline constexpr std::size_t kRelayBytes = 256'000;
/// A write that was not read back is appended again after this time. A repeat has no effect, but
/// takes part of the log's several hundred appends per second.
inline constexpr Duration kAppendRepeat{2'000'000};
/// Own writes in flight, half of what the fold recognises as repeats (`kWriterWindow`).
inline constexpr std::size_t kMaxPendingWrites = 32;
/// Of these, chunks of a snapshot.
inline constexpr std::size_t kMaxPendingChunks = 8;
/// Records after which a new snapshot is due, but no more often than `kSnapshotInterval`.
inline constexpr std::uint64_t kSnapshotRecords = 2000;
inline constexpr Duration kSnapshotInterval{60'000'000};
/// Wait of each data centre behind the one before it, so that one of them writes the snapshot.
inline constexpr Duration kSnapshotRankDelay{3'000'000};
/// A hole in the log is read this often before it counts as one: a reader may be ahead of a replica
/// of the log.
inline constexpr int kHoleReads = 3;
/// A log that cannot be read for this time is treated as down.
inline constexpr Duration kLogDownAfter{1'000'000};

/// What became of an own write.
struct WriteOutcome {
  std::uint64_t sequence = 0;
  /// Offset of the record; 0 when a snapshot contained it.
  std::uint64_t offset = 0;
  /// Absent when the record was folded so long ago that its outcome is no longer known.
  std::optional<ApplyResult> result;
};

/// What has changed in the control state since the last call of `LogFollower::TakeChanges`.
struct StateChanges {
  /// The whole state was replaced by a snapshot; `applied` holds the records after it.
  bool replaced = false;
  /// Records that took effect, with their offsets, in the order of the log.
  std::vector<std::pair<std::uint64_t, Record>> applied;
};

/// The follower. Not thread-safe.
///
/// @code
/// follower.Tick(now, unix_ms, membership, out);
/// for (const LogRequest& request : follower.TakeRequests()) worker.Start(request);
/// @endcode
class LogFollower {
 public:
  /// `name` is the actor of records that the instance writes on its own.
  LogFollower(const InstanceIdentity& self, std::string name, TimePoint now);

  /// Reports the answer to a `LogRead`.
  void OnRead(TimePoint now, std::uint64_t id, const LogPage& page, Outbox& out);
  void OnReadFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  /// Reports the end of a `LogAppend`; the outcome of its records comes with the read.
  void OnAppended(TimePoint now, std::uint64_t id);
  void OnAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure);

  void OnMessage(TimePoint now, InstanceId from, const RecordRelay& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const CatchUpRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SnapshotPart& message, Outbox& out);

  /// `unix_ms` is the wall clock, for records and the end of exceptions.
  void Tick(TimePoint now, std::int64_t unix_ms, const Membership& membership, Outbox& out);

  /// Queues a write and returns its sequence, or nothing when `kMaxPendingWrites` are in flight.
  std::optional<std::uint64_t> Submit(std::string actor, std::string reason, RecordBody body);

  /// Removes and returns the requests to make of the log service.
  std::vector<LogRequest> TakeRequests() { return std::exchange(requests_, {}); }

  /// Removes and returns what has changed in the control state.
  StateChanges TakeChanges() { return std::exchange(changes_, {}); }

  /// Removes and returns the outcomes of own writes.
  std::vector<WriteOutcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }

  const ControlState& state() const noexcept { return state_; }

  /// Whether the instance holds the current state. Once true, only a record of another version
  /// makes it false: an instance goes on with the state it has while the log is down.
  bool ready() const noexcept { return ready_ && !stopped_at_; }

  /// Whether the instance reads the log for its data centre.
  bool is_reader() const noexcept { return reader_; }

  /// When the log was last read, directly or by the reader of the data centre.
  std::optional<TimePoint> last_log_contact() const noexcept { return last_contact_; }

  /// The fault that keeps the state from advancing, or an empty text.
  const std::string& fault() const noexcept { return fault_; }

  /// Faults noticed since the start: gaps, damaged snapshots, unknown records.
  std::uint64_t fault_count() const noexcept { return fault_count_; }

  std::size_t pending_writes() const noexcept { return pending_.size(); }

 private:
  struct ReadInFlight {
    std::uint64_t from = 0;
    TimePoint sent;
  };
  struct PendingWrite {
    Record record;
    std::optional<TimePoint> sent;
  };
  struct Peer {
    InstanceId id;
    std::uint64_t state_offset = 0;
    bool ready = false;
    bool own_data_centre = false;
  };
  /// Why the log is read from its first retained offset instead of from the state's.
  struct Scan {
    std::uint64_t next = 0;
    /// Offset that the log's next record had when the scan began.
    std::uint64_t end = 0;
  };

  void NoteFault(std::string text);
  void UpdatePeers(TimePoint now, const Membership& membership);
  void DecideReader(TimePoint now, const Membership& membership);
  std::size_t OwnRank() const;
  void SendReads(TimePoint now);
  Duration ReadInterval() const;
  void SendRead(TimePoint now, std::uint64_t from, std::uint32_t max);
  void OnScanPage(TimePoint now, const LogPage& page);
  void OnBounds(TimePoint now, const LogPage& page);
  void OnHole(TimePoint now, std::uint64_t offset);
  void EndScan(TimePoint now);
  /// Applies those of `records` that follow the state. Returns whether there was a gap before them.
  bool ApplyRecords(const std::vector<LogRecord>& records);
  bool ApplyOne(const LogRecord& record);
  void NoteApplied(const LogRecord& record, const ApplyResult& result);
  void NoteChunk(const SnapshotChunk& chunk);
  void Keep(const LogRecord& record);
  void Adopt(ControlState state);
  void ResolvePendingFromState();
  void UpdateReady(TimePoint now);
  void Relay(TimePoint now, std::uint64_t from, Outbox& out);
  RecordRelay MakeRelay(TimePoint now, std::uint64_t from) const;
  void RequestCatchUp(TimePoint now, InstanceId peer, Outbox& out);
  void CatchUpFromPeers(TimePoint now, Outbox& out);
  void SendChunks(TimePoint now, InstanceId to, const CatchUpRequest& request, Outbox& out);
  void SendAppends(TimePoint now);
  void WriteSnapshot(TimePoint now);
  bool SnapshotDue(TimePoint now) const;
  std::size_t DataCentreRank() const;
  bool LogIsDown(TimePoint now) const;

  InstanceIdentity self_;
  std::string name_;
  std::int64_t unix_ms_ = 0;
  ControlState state_;
  bool ready_ = false;
  /// Whether the own state is more than the empty one it started with.
  bool loaded_ = false;
  std::optional<std::uint64_t> stopped_at_;
  std::string fault_;
  std::uint64_t fault_count_ = 0;

  // Reading.
  bool reader_ = false;
  bool coordinator_ = false;
  std::optional<TimePoint> last_contact_;
  /// Last successful own read.
  std::optional<TimePoint> last_read_;
  std::uint64_t log_next_ = 0;
  std::uint64_t first_retained_ = 0;
  std::map<std::uint64_t, ReadInFlight> reads_;
  std::uint64_t next_request_ = 1;
  std::optional<TimePoint> last_read_sent_;
  bool more_to_read_ = false;
  Duration backoff_{0};
  int hole_reads_ = 0;
  bool need_bounds_ = false;
  std::optional<Scan> scan_;
  std::optional<TimePoint> last_scan_;
  SnapshotAssembler log_snapshots_;

  // Relaying.
  std::vector<Peer> peers_;
  TimePoint last_relay_heard_;
  std::int64_t relayed_log_age_us_ = -1;
  std::optional<TimePoint> last_relay_sent_;
  std::uint64_t relayed_next_ = 0;
  std::deque<LogRecord> recent_;
  std::size_t recent_bytes_ = 0;

  // Catching up from peers.
  std::optional<TimePoint> last_request_;
  std::size_t request_count_ = 0;
  std::optional<TimePoint> behind_since_;
  std::uint64_t behind_offset_ = 0;
  SnapshotAssembler peer_snapshots_;
  std::uint64_t peer_snapshot_id_ = 0;
  std::vector<SnapshotChunk> offered_;
  std::optional<TimePoint> offered_at_;

  // Writing.
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, PendingWrite> pending_;
  std::optional<std::uint64_t> append_;
  std::vector<std::uint64_t> appending_;
  std::optional<TimePoint> append_not_before_;
  std::vector<LogRequest> requests_;
  std::vector<WriteOutcome> outcomes_;
  StateChanges changes_;

  // Snapshots in the log.
  std::uint64_t snapshot_base_ = 0;
  std::uint64_t partial_base_ = 0;
  std::map<std::uint32_t, bool> partial_chunks_;
  std::optional<TimePoint> chunk_seen_;
  std::optional<TimePoint> snapshot_seen_;
  std::optional<TimePoint> due_since_;
  std::deque<SnapshotChunk> chunks_to_write_;
  TimePoint now_;
};

}  // namespace dogwoodport
