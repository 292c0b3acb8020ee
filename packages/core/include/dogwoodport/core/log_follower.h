#pragma once

/// @file
/// Keeps the control state of one instance up to date.
///
/// One instance per data centre, the reader, reads the log and relays its records to the others.
/// The follower decides whether its instance is the reader, serves records and snapshots to other
/// instances, recovers from gaps in the log, and retries the writes of its instance until it reads
/// them back from the log.

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

/// Interval at which a reader that has caught up reads the log.
inline constexpr Duration kPollInterval{100'000};
/// Minimum time between two reads while records remain: 256 records per 20 ms.
inline constexpr Duration kCatchUpInterval{20'000};
/// Maximum number of records in one read.
inline constexpr std::uint32_t kMaxReadRecords = 256;
/// Time after which the next read is sent although the previous one has no response yet. Four
/// overlapping reads keep the polling continuous at a response delay of 1 s.
inline constexpr Duration kOverlapInterval{250'000};
inline constexpr std::size_t kMaxReadsInFlight = 4;
/// Time without a relay from the reader after which another instance takes over reading.
inline constexpr Duration kReaderTimeout{500'000};
/// Added to `kReaderTimeout` for each live instance of the data centre with a lower identifier, so
/// that the instances take over one after the other.
inline constexpr Duration kReaderRankDelay{100'000};
/// Interval at which each instance that is not the reader probes a log that seems to be down, in
/// case only the reader is cut off from it.
inline constexpr Duration kProbeInterval{2'000'000};
/// Maximum backoff after failed reads. The backoff starts at `kPollInterval` and doubles with each
/// failure.
inline constexpr Duration kMaxBackoff{2'000'000};
/// Time after which a request for a newer state is retried at another instance.
inline constexpr Duration kCatchUpTimeout{500'000};
/// Maximum number of snapshot chunks per response: 128 KB.
inline constexpr std::uint32_t kMaxChunksPerResponse = 4;
/// Maximum number and total size of the recent records that each instance retains for others.
inline constexpr std::size_t kMaxRecentRecords = 4096;
inline constexpr std::size_t kMaxRecentBytes = 4'000'000;
/// Maximum total size of the records in one relay, unless a single record is larger.
inline constexpr std::size_t kMaxRelayBytes = 256'000;
/// Time after which a write that was not read back is appended again. A duplicate has no effect,
/// but it uses part of the log's capacity of several hundred appends per second.
inline constexpr Duration kAppendRetryInterval{2'000'000};
/// Maximum number of pending writes of the instance: half the number for which `ControlState`
/// detects duplicates (`kWriterWindow`).
inline constexpr std::size_t kMaxPendingWrites = 32;
/// Maximum number of snapshot chunks among the pending writes.
inline constexpr std::size_t kMaxPendingChunks = 8;
/// Number of records after which a new snapshot is due, at most once per `kSnapshotInterval`.
inline constexpr std::uint64_t kSnapshotRecords = 2000;
inline constexpr Duration kSnapshotInterval{60'000'000};
/// Delay between consecutive data centres before they write a due snapshot, so that only one of
/// them writes it.
inline constexpr Duration kSnapshotRankDelay{3'000'000};
/// Number of consecutive reads that must lack the next record before it counts as missing. A single
/// read may have been served by a replica of the log that lags behind the reader.
inline constexpr int kMissingRecordReads = 3;
/// Time without a successful read after which the log is treated as down.
inline constexpr Duration kLogDownTimeout{1'000'000};

/// Outcome of a write of this instance.
struct WriteOutcome {
  std::uint64_t sequence = 0;
  /// Offset of the record, or 0 if a snapshot contained the record and its offset is unknown.
  std::uint64_t offset = 0;
  /// Absent if a snapshot contained the record and no longer has its audit entry.
  std::optional<ApplyResult> result;
};

/// Changes of the control state since the previous call of `LogFollower::TakeChanges`.
struct StateChanges {
  /// Whether a snapshot replaced the whole state. `applied` then contains the records after it.
  bool replaced = false;
  /// Records that took effect, with their offsets, in log order.
  std::vector<std::pair<std::uint64_t, Record>> applied;
};

/// Follows the log and maintains the control state. Performs no I/O itself: the caller executes the
/// requests from `TakeRequests` and reports their results. Not thread-safe.
///
/// @code
/// follower.Tick(now, unix_ms, membership, out);
/// for (const LogRequest& request : follower.TakeRequests()) worker.Start(request);
/// @endcode
class LogFollower {
 public:
  /// `name` is the actor of the snapshot records that the instance writes.
  LogFollower(const InstanceIdentity& self, std::string name, TimePoint now);

  /// Reports the response to the `LogRead` with this `id`.
  void OnRead(TimePoint now, std::uint64_t id, const LogPage& page, Outbox& out);
  /// Reports the failure of the `LogRead` with this `id`.
  void OnReadFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  /// Reports that a `LogAppend` succeeded. The outcomes of its records are determined only when
  /// they are read back.
  void OnAppended(TimePoint now, std::uint64_t id);
  /// Reports the failure of a `LogAppend`. Its records remain pending and are appended again.
  void OnAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure);

  void OnMessage(TimePoint now, InstanceId from, const RecordRelay& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const CatchUpRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SnapshotPart& message, Outbox& out);

  /// Decides whether to be the reader, requests missing records, writes due snapshots, and
  /// queues reads and appends. `unix_ms` is the wall-clock time; it is used as the time of records
  /// and for the expiry of exceptions.
  void Tick(TimePoint now, std::int64_t unix_ms, const Membership& membership, Outbox& out);

  /// Queues a write and returns its sequence number. Returns nothing if too many writes are
  /// pending: `kMaxPendingWrites` for a snapshot chunk, `kMaxPendingChunks` fewer for any other
  /// record.
  std::optional<std::uint64_t> Submit(std::string actor, std::string reason, RecordBody body);

  /// Removes and returns the requests to send to the log service.
  std::vector<LogRequest> TakeRequests() { return std::exchange(requests_, {}); }

  /// Removes and returns the changes of the control state.
  StateChanges TakeChanges() { return std::exchange(changes_, {}); }

  /// Removes and returns the outcomes of writes of this instance.
  std::vector<WriteOutcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }

  const ControlState& state() const noexcept { return state_; }

  /// Whether the instance has reached the current state. Once true, it becomes false only at a
  /// record of an unknown type, from another software version. While the log is down, an instance
  /// continues with the state it has.
  bool ready() const noexcept { return ready_ && !stopped_at_; }

  /// Whether the instance reads the log for its data centre.
  bool is_reader() const noexcept { return reader_; }

  /// Time of the latest successful read of the log, by this instance or by the reader of its data
  /// centre.
  std::optional<TimePoint> last_log_contact() const noexcept { return last_contact_; }

  /// Latest fault in following the log; empty if there is none or the state has advanced
  /// since.
  const std::string& fault() const noexcept { return fault_; }

  /// Number of faults since the start, e.g. gaps, damaged snapshots and records of unknown type.
  /// Consecutive equal faults count once.
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
  /// Scan of the log for a snapshot, from the first retained offset.
  struct Scan {
    std::uint64_t next = 0;
    /// End of the log when the scan began.
    std::uint64_t end = 0;
  };

  void SetFault(std::string text);
  void UpdatePeers(TimePoint now, const Membership& membership);
  void DecideReader(TimePoint now, const Membership& membership);
  std::size_t ReaderRank() const;
  void SendReads(TimePoint now);
  Duration ReadInterval() const;
  void SendRead(TimePoint now, std::uint64_t from, std::uint32_t max);
  void OnScanPage(TimePoint now, const LogPage& page);
  void OnBounds(TimePoint now, const LogPage& page);
  void OnMissingRecord(TimePoint now, std::uint64_t offset);
  void EndScan(TimePoint now);
  /// Applies the `records` that the state lacks. Returns whether there was a gap before one of
  /// them.
  bool ApplyRecords(const std::vector<LogRecord>& records);
  bool ApplyOne(const LogRecord& record);
  void OnApplied(std::uint64_t offset, Record record, const ApplyResult& result);
  void RetainRecord(const LogRecord& record);
  void ReplaceState(ControlState state);
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
  /// Returns whether the reader of the data centre had read the log within `kLogDownTimeout` when
  /// it sent its latest relay.
  bool ReaderIsCurrent() const;
  void YieldReading(TimePoint now, InstanceId other);

  InstanceIdentity self_;
  std::string actor_;
  std::int64_t unix_ms_ = 0;
  ControlState state_;
  bool ready_ = false;
  /// Whether a record or a snapshot has been applied to the initial empty state.
  bool loaded_ = false;
  /// Offset of the record of unknown type at which the state stopped, if there is one.
  std::optional<std::uint64_t> stopped_at_;
  std::string fault_;
  std::uint64_t fault_count_ = 0;

  // Reading.
  bool reader_ = false;
  bool coordinator_ = false;
  std::optional<TimePoint> last_contact_;
  /// Time at which the latest successful read by this instance was sent.
  std::optional<TimePoint> last_read_;
  std::uint64_t log_next_ = 0;
  std::uint64_t first_retained_ = 0;
  std::map<std::uint64_t, ReadInFlight> reads_;
  std::uint64_t next_request_ = 1;
  std::optional<TimePoint> last_read_sent_;
  bool more_to_read_ = false;
  Duration backoff_{0};
  int missing_record_reads_ = 0;
  bool need_bounds_ = false;
  std::optional<Scan> scan_;
  std::optional<TimePoint> last_scan_;
  SnapshotAssembler log_snapshots_;

  // Relaying.
  std::vector<Peer> peers_;
  TimePoint last_relay_received_;
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
  std::vector<SnapshotChunk> shared_snapshot_;
  std::optional<TimePoint> shared_snapshot_at_;

  // Writing.
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, PendingWrite> pending_;
  std::optional<std::uint64_t> append_in_flight_;
  std::vector<std::uint64_t> appending_;
  std::optional<TimePoint> append_not_before_;
  std::vector<LogRequest> requests_;
  std::vector<WriteOutcome> outcomes_;
  StateChanges changes_;

  // Snapshots in the log.
  std::optional<TimePoint> last_chunk_at_;
  std::optional<TimePoint> snapshot_due_since_;
  std::deque<SnapshotChunk> chunks_to_write_;
  TimePoint now_;
};

}  // namespace dogwoodport
