#include "dogwoodport/core/log_follower.h"

#include <algorithm>
#include <utility>

namespace dogwoodport {
namespace {

/// Maximum time between two relays of the reader. It is well below `kReaderTimeout`, so that others
/// detect the loss of the reader within that time.
constexpr Duration kRelayInterval{100'000};
/// Time after which a read without a reported outcome is abandoned. The caller has its own
/// timeouts.
constexpr Duration kReadTimeout{10'000'000};
/// Minimum time between two scans of the log for a snapshot.
constexpr Duration kScanInterval{5'000'000};
/// Time for which a snapshot that was made for peers is also sent to further peers.
constexpr Duration kSharedSnapshotLifetime{10'000'000};
/// Time after the latest snapshot chunk in the log during which another writer is assumed to be
/// still writing its snapshot.
constexpr Duration kSnapshotWriterTimeout{10'000'000};
/// Maximum number of records in one append.
constexpr std::size_t kMaxAppendRecords = 16;

bool IsChunk(const RecordBody& body) { return std::holds_alternative<SnapshotChunk>(body); }

}  // namespace

LogFollower::LogFollower(const InstanceIdentity& self, std::string name, TimePoint now)
    : self_(self), actor_(std::move(name)), last_relay_received_(now), now_(now) {}

void LogFollower::SetFault(std::string text) {
  if (text != fault_) ++fault_count_;
  fault_ = std::move(text);
}

// --- Reading the log ------------------------------------------------------------------------

void LogFollower::OnRead(TimePoint now, std::uint64_t id, const LogPage& page, Outbox& out) {
  const auto it = reads_.find(id);
  if (it == reads_.end()) return;
  const ReadInFlight read = it->second;
  reads_.erase(it);
  now_ = now;
  // The response shows the log at some time after the read was sent, so the send time is used.
  last_read_ = std::max(read.sent, last_read_.value_or(read.sent));
  last_contact_ = std::max(*last_read_, last_contact_.value_or(*last_read_));
  backoff_ = Duration{0};
  log_next_ = std::max(log_next_, page.next);
  first_retained_ = std::max(first_retained_, page.first_retained);
  if (read.from == kBeyondLogEnd) return OnBounds(now, page);
  if (scan_ && read.from == scan_->next) return OnScanPage(now, page);
  if (scan_ || stopped_at_) return;
  // The reader of the data centre is cut off from the log, but this instance can read it.
  if (!reader_ && !ReaderIsCurrent()) reader_ = true;
  if (!loaded_ && page.first_retained < state_.next_offset()) {
    // The log starts at a lower offset than the one that an empty state expects first.
    state_ = ControlState(page.first_retained);
    return;
  }
  const std::uint64_t before = state_.next_offset();
  const bool gap = ApplyRecords(page.records);
  const bool empty_page = page.records.empty() && page.next > read.from && read.from == before;
  if (gap || empty_page) {
    OnMissingRecord(now, state_.next_offset());
  } else if (state_.next_offset() > before || page.next <= state_.next_offset()) {
    missing_record_reads_ = 0;
    if (!stopped_at_) fault_.clear();
  }
  more_to_read_ = state_.next_offset() < page.next;
  UpdateReady(now);
  if (reader_ && state_.next_offset() > before) Relay(now, before, out);
}

void LogFollower::OnReadFailed(TimePoint now, std::uint64_t id, LogFailure failure) {
  const auto it = reads_.find(id);
  if (it == reads_.end()) return;
  const std::uint64_t from = it->second.from;
  reads_.erase(it);
  now_ = now;
  if (failure == LogFailure::kExpired) {
    const bool current = from == state_.next_offset() || (scan_ && from == scan_->next);
    if (!current) return;
    // The log has removed records that this instance lacks, so it needs a snapshot instead.
    if (loaded_) SetFault("offset " + std::to_string(from) + " is no longer retained by the log");
    scan_.reset();
    need_bounds_ = true;
    return;
  }
  backoff_ = std::clamp(backoff_ * 2, kPollInterval, kMaxBackoff);
}

void LogFollower::OnBounds(TimePoint now, const LogPage& page) {
  need_bounds_ = false;
  const bool recent = last_scan_ && now - *last_scan_ < kScanInterval;
  if (recent || page.first_retained >= page.next) return;
  last_scan_ = now;
  scan_ = Scan{page.first_retained, page.next};
}

void LogFollower::OnScanPage(TimePoint now, const LogPage& page) {
  for (const LogRecord& record : page.records) {
    scan_->next = record.offset + 1;
    try {
      const Record decoded = DecodeRecord(record.data);
      const auto* chunk = std::get_if<SnapshotChunk>(&decoded.body);
      if (chunk == nullptr) continue;
      if (auto fault = log_snapshots_.Add(*chunk, unix_ms_)) SetFault(*fault);
    } catch (const RecordError&) {
      // A scan only looks for snapshots. `ApplyOne` handles the record if the state reaches it.
    }
  }
  if (page.records.empty() || scan_->next >= scan_->end) EndScan(now);
}

void LogFollower::EndScan(TimePoint now) {
  scan_.reset();
  auto snapshot = log_snapshots_.TakeLatest();
  if (snapshot && snapshot->next_offset() > state_.next_offset()) {
    ReplaceState(std::move(*snapshot));
  } else if (state_.next_offset() < first_retained_) {
    SetFault("no complete snapshot is retained by the log");
    last_scan_ = now;
  }
  more_to_read_ = true;
}

void LogFollower::OnMissingRecord(TimePoint now, std::uint64_t offset) {
  if (++missing_record_reads_ < kMissingRecordReads) return;
  missing_record_reads_ = 0;
  SetFault("the log has no record at offset " + std::to_string(offset));
  // The record is never skipped. It must come from a peer, or a snapshot must replace it.
  behind_since_ = now - kReaderTimeout;
  need_bounds_ = true;
}

bool LogFollower::ApplyRecords(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    if (record.offset < state_.next_offset()) continue;
    if (record.offset > state_.next_offset()) return true;
    if (!ApplyOne(record)) return false;
  }
  return false;
}

bool LogFollower::ApplyOne(const LogRecord& record) {
  std::optional<Record> decoded;
  try {
    decoded = DecodeRecord(record.data);
  } catch (const UnknownRecordError& e) {
    stopped_at_ = record.offset;
    reader_ = false;
    SetFault("stopped at offset " + std::to_string(record.offset) + ": " + e.what());
    return false;
  } catch (const RecordError&) {
    // `ControlState::ApplyText` skips malformed text with an audit entry.
  }
  const ApplyResult result = decoded ? state_.Apply(record.offset, *decoded)
                                     : state_.ApplyText(record.offset, record.data);
  loaded_ = true;
  RetainRecord(record);
  if (decoded) OnApplied(record.offset, std::move(*decoded), result);
  return true;
}

/// Resolves the pending write that `record` belongs to, if any, and adds the record to the changes
/// for `TakeChanges` if it took effect.
void LogFollower::OnApplied(std::uint64_t offset, Record record, const ApplyResult& result) {
  const bool own = record.writer == self_.id && record.incarnation == self_.incarnation;
  const auto it = own ? pending_.find(record.sequence) : pending_.end();
  if (it != pending_.end()) {
    if (!IsChunk(record.body)) outcomes_.push_back({record.sequence, offset, result});
    pending_.erase(it);
  }
  if (IsChunk(record.body)) {
    last_chunk_at_ = now_;
  } else if (result.outcome == ApplyOutcome::kApplied) {
    changes_.applied.emplace_back(offset, std::move(record));
  }
}

void LogFollower::RetainRecord(const LogRecord& record) {
  recent_.push_back(record);
  recent_bytes_ += record.data.size();
  while (recent_.size() > kMaxRecentRecords ||
         (recent_bytes_ > kMaxRecentBytes && recent_.size() > 1)) {
    recent_bytes_ -= recent_.front().data.size();
    recent_.pop_front();
  }
}

/// Replaces the state by that of a snapshot if the snapshot is newer or no state is loaded yet.
void LogFollower::ReplaceState(ControlState state) {
  if (loaded_ && state.next_offset() <= state_.next_offset()) return;
  state_ = std::move(state);
  changes_ = StateChanges{true, {}};
  loaded_ = true;
  stopped_at_.reset();
  fault_.clear();
  missing_record_reads_ = 0;
  recent_.clear();
  recent_bytes_ = 0;
  ResolvePendingFromState();
}

void LogFollower::ResolvePendingFromState() {
  std::erase_if(pending_, [&](const auto& entry) {
    const auto& [sequence, write] = entry;
    if (!state_.HasProcessed(self_.id, self_.incarnation, sequence)) return false;
    if (IsChunk(write.record.body)) return true;
    WriteOutcome outcome{sequence, 0, std::nullopt};
    for (const AuditEntry& audit : state_.audit()) {
      const bool own = audit.writer == self_.id && audit.incarnation == self_.incarnation &&
                       audit.sequence == sequence && audit.outcome != ApplyOutcome::kRepeated;
      if (!own) continue;
      outcome.offset = audit.offset;
      outcome.result = ApplyResult{audit.outcome, audit.detail};
    }
    outcomes_.push_back(std::move(outcome));
    return true;
  });
}

// --- Choosing the reader --------------------------------------------------------------------

void LogFollower::UpdatePeers(TimePoint now, const Membership& membership) {
  peers_.clear();
  for (const auto& [id, member] : membership.members()) {
    if (membership.liveness(now, id) == Liveness::kDead) continue;
    peers_.push_back(
        {id, member.state_offset, member.ready, member.data_centre == self_.data_centre});
  }
}

std::size_t LogFollower::ReaderRank() const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const Peer& p) {
    return p.own_data_centre && p.id < self_.id;
  }));
}

void LogFollower::DecideReader(TimePoint now, const Membership& membership) {
  coordinator_ = membership.is_coordinator();
  if (stopped_at_) {
    reader_ = false;
    return;
  }
  if (coordinator_) {
    reader_ = true;
    return;
  }
  const Duration timeout = kReaderTimeout + static_cast<int>(ReaderRank()) * kReaderRankDelay;
  if (now - last_relay_received_ > timeout) reader_ = true;
}

bool LogFollower::ReaderIsCurrent() const {
  return relayed_log_age_us_ >= 0 && Duration(relayed_log_age_us_) <= kLogDownTimeout;
}

/// Releases the reader role if another reader is the coordinator or has a lower identifier, unless
/// only this instance can read the log.
void LogFollower::YieldReading(TimePoint now, InstanceId other) {
  if (coordinator_) return;
  const Delegation* delegation = state_.delegation(self_.data_centre);
  const bool first = other < self_.id || (delegation && delegation->coordinator == other);
  const bool own_current = last_read_ && now - *last_read_ <= kLogDownTimeout;
  if (first && (ReaderIsCurrent() || !own_current)) reader_ = false;
}

bool LogFollower::LogIsDown(TimePoint now) const {
  return !last_contact_ || now - *last_contact_ > kLogDownTimeout;
}

Duration LogFollower::ReadInterval() const {
  if (backoff_ > Duration{0}) return reader_ ? backoff_ : kProbeInterval;
  if (!reader_) return kProbeInterval;
  if (!reads_.empty()) return kOverlapInterval;
  return more_to_read_ || scan_ ? kCatchUpInterval : kPollInterval;
}

void LogFollower::SendReads(TimePoint now) {
  std::erase_if(reads_, [&](const auto& r) { return now - r.second.sent > kReadTimeout; });
  const bool probing = !reader_ && !stopped_at_ && LogIsDown(now);
  if (!reader_ && !probing) return;
  if (reads_.size() >= kMaxReadsInFlight) return;
  if (last_read_sent_ && now - *last_read_sent_ < ReadInterval()) return;
  if (need_bounds_) {
    const bool interval_elapsed = !last_scan_ || now - *last_scan_ >= kScanInterval;
    if (interval_elapsed) SendRead(now, kBeyondLogEnd, 0);
    return;
  }
  SendRead(now, scan_ ? scan_->next : state_.next_offset(), kMaxReadRecords);
}

void LogFollower::SendRead(TimePoint now, std::uint64_t from, std::uint32_t max) {
  const std::uint64_t id = next_request_++;
  reads_[id] = {from, now};
  last_read_sent_ = now;
  requests_.push_back(LogRead{id, from, max});
}

// --- Relaying and catching up ---------------------------------------------------------------

RecordRelay LogFollower::MakeRelay(TimePoint now, std::uint64_t from) const {
  RecordRelay relay;
  relay.next_offset = state_.next_offset();
  relay.log_next = log_next_;
  relay.log_age_us = last_read_ ? (now - *last_read_).count() : -1;
  relay.is_reader = reader_;
  std::size_t bytes = 0;
  if (recent_.empty() || from < recent_.front().offset) return relay;
  for (auto it = recent_.begin() + static_cast<std::ptrdiff_t>(from - recent_.front().offset);
       it < recent_.end() && (bytes == 0 || bytes + it->data.size() <= kMaxRelayBytes); ++it) {
    bytes += it->data.size();
    relay.records.push_back(*it);
  }
  return relay;
}

void LogFollower::Relay(TimePoint now, std::uint64_t from, Outbox& out) {
  last_relay_sent_ = now;
  const RecordRelay relay = MakeRelay(now, from);
  for (const Peer& peer : peers_) {
    if (peer.own_data_centre) out.Send(peer.id, relay);
  }
}

void LogFollower::OnMessage(TimePoint now, InstanceId from, const RecordRelay& message,
                            Outbox& out) {
  now_ = now;
  if (message.is_reader) {
    last_relay_received_ = now;
    relayed_log_age_us_ = message.log_age_us;
    YieldReading(now, from);
    if (message.log_age_us >= 0) {
      const TimePoint contact = now - Duration(message.log_age_us);
      last_contact_ = std::max(contact, last_contact_.value_or(contact));
      log_next_ = std::max(log_next_, message.log_next);
    }
  }
  if (stopped_at_) return;
  const std::uint64_t before = state_.next_offset();
  ApplyRecords(message.records);
  const bool advanced = state_.next_offset() > before;
  if (advanced && !stopped_at_) {
    fault_.clear();
    behind_since_.reset();
  }
  if (reader_ && advanced) Relay(now, before, out);
  if (!stopped_at_ && message.next_offset > state_.next_offset()) {
    // A snapshot transfer in progress is not requested again until it times out.
    const Duration retry_interval = peer_snapshot_id_ != 0 ? kCatchUpTimeout : kPollInterval;
    const bool wait = last_request_ && !advanced && now - *last_request_ < retry_interval;
    if (!wait) RequestCatchUp(now, from, out);
  }
  UpdateReady(now);
}

void LogFollower::RequestCatchUp(TimePoint now, InstanceId peer, Outbox& out) {
  last_request_ = now;
  CatchUpRequest request{state_.next_offset(), stopped_at_.has_value(), 0, 0};
  if (!loaded_) request.next_offset = 0;
  if (peer_snapshot_id_ != 0) {
    request.snapshot_id = peer_snapshot_id_;
    request.next_chunk = peer_snapshots_.FirstMissing(peer_snapshot_id_);
  }
  out.Send(peer, request);
}

/// Requests a newer state from one peer after the other while the own state does not advance. Peers
/// of the own data centre come first, then those with the newest state.
void LogFollower::CatchUpFromPeers(TimePoint now, Outbox& out) {
  std::vector<Peer> newer;
  for (const Peer& peer : peers_) {
    if (peer.state_offset > state_.next_offset() || (!loaded_ && peer.ready)) newer.push_back(peer);
  }
  if (newer.empty()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_ || behind_offset_ != state_.next_offset()) {
    behind_offset_ = state_.next_offset();
    // An instance without a state does not wait for relays before it asks.
    behind_since_ = loaded_ ? now : now - kReaderTimeout;
  }
  if (now - *behind_since_ < kReaderTimeout) return;
  if (last_request_ && now - *last_request_ < kCatchUpTimeout) return;
  std::sort(newer.begin(), newer.end(), [](const Peer& a, const Peer& b) {
    return std::tuple(!a.own_data_centre, ~a.state_offset, a.id) <
           std::tuple(!b.own_data_centre, ~b.state_offset, b.id);
  });
  RequestCatchUp(now, newer[request_count_++ % newer.size()].id, out);
}

void LogFollower::OnMessage(TimePoint now, InstanceId from, const CatchUpRequest& message,
                            Outbox& out) {
  now_ = now;
  if (!loaded_ || stopped_at_ || message.next_offset >= state_.next_offset()) return;
  const bool retained = !recent_.empty() && message.next_offset >= recent_.front().offset;
  if (retained && !message.snapshot_only) {
    out.Send(from, MakeRelay(now, message.next_offset));
    return;
  }
  SendChunks(now, from, message, out);
}

void LogFollower::SendChunks(TimePoint now, InstanceId to, const CatchUpRequest& request,
                             Outbox& out) {
  const bool reusable =
      shared_snapshot_at_ && now - *shared_snapshot_at_ < kSharedSnapshotLifetime &&
      !shared_snapshot_.empty() && shared_snapshot_.front().base_offset > request.next_offset;
  const bool under_way =
      !shared_snapshot_.empty() && request.snapshot_id == shared_snapshot_.front().id;
  if (!reusable && !under_way) {
    shared_snapshot_ = MakeSnapshot(state_);
    shared_snapshot_at_ = now;
  }
  const bool same_snapshot = request.snapshot_id == shared_snapshot_.front().id;
  const std::size_t first = same_snapshot ? request.next_chunk : 0;
  const std::size_t end =
      std::min<std::size_t>(first + kMaxChunksPerResponse, shared_snapshot_.size());
  for (std::size_t n = first; n < end; ++n) {
    out.Send(to, SnapshotPart{shared_snapshot_[n], n + 1 == end});
  }
}

void LogFollower::OnMessage(TimePoint now, InstanceId from, const SnapshotPart& message,
                            Outbox& out) {
  now_ = now;
  if (loaded_ && message.chunk.base_offset <= state_.next_offset()) return;
  peer_snapshot_id_ = message.chunk.id;
  if (auto fault = peer_snapshots_.Add(message.chunk, unix_ms_)) {
    SetFault(*fault);
    peer_snapshot_id_ = 0;
    return;
  }
  if (auto state = peer_snapshots_.TakeLatest()) {
    peer_snapshot_id_ = 0;
    ReplaceState(std::move(*state));
    UpdateReady(now);
    // Requests the records that follow the snapshot.
    RequestCatchUp(now, from, out);
    return;
  }
  if (message.last_in_response) RequestCatchUp(now, from, out);
}

void LogFollower::UpdateReady(TimePoint now) {
  if (ready_ || stopped_at_ || scan_) return;
  const bool log_is_down = LogIsDown(now);
  if (!log_is_down) {
    ready_ = state_.next_offset() >= log_next_;
    return;
  }
  // While the log is down, the newest state of a ready instance counts as the current one.
  bool any_ready = false;
  for (const Peer& peer : peers_) {
    if (!peer.ready) continue;
    any_ready = true;
    if (peer.state_offset > state_.next_offset()) return;
  }
  ready_ = any_ready && loaded_;
}

// --- Writing --------------------------------------------------------------------------------

std::optional<std::uint64_t> LogFollower::Submit(std::string actor, std::string reason,
                                                 RecordBody body) {
  const std::size_t limit =
      IsChunk(body) ? kMaxPendingWrites : kMaxPendingWrites - kMaxPendingChunks;
  if (pending_.size() >= limit) return std::nullopt;
  const std::uint64_t sequence = next_sequence_++;
  pending_[sequence].record = {self_.id,         self_.incarnation, sequence,
                               std::move(actor), std::move(reason), unix_ms_,
                               std::move(body)};
  return sequence;
}

void LogFollower::SendAppends(TimePoint now) {
  if (append_in_flight_ || (append_not_before_ && now < *append_not_before_)) return;
  LogAppend append{next_request_, {}};
  for (auto& [sequence, write] : pending_) {
    if (append.records.size() >= kMaxAppendRecords) break;
    if (write.sent && now - *write.sent < kAppendRetryInterval) continue;
    // A write is retried only if a read that was sent after it did not return it.
    if (write.sent && (!last_contact_ || *last_contact_ <= *write.sent)) continue;
    write.sent = now;
    appending_.push_back(sequence);
    append.records.push_back(EncodeRecord(write.record));
  }
  if (append.records.empty()) return;
  append_in_flight_ = next_request_++;
  requests_.push_back(std::move(append));
}

void LogFollower::OnAppended(TimePoint now, std::uint64_t id) {
  if (append_in_flight_ != id) return;
  append_in_flight_.reset();
  appending_.clear();
  append_not_before_.reset();
  // The records are in the log now, so the next read does not wait for the poll interval.
  if (reader_ && last_read_sent_) {
    last_read_sent_ = std::min(*last_read_sent_, now - kPollInterval);
  }
}

void LogFollower::OnAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure) {
  if (append_in_flight_ != id) return;
  append_in_flight_.reset();
  if (failure == LogFailure::kUnreachable) {
    for (const std::uint64_t sequence : appending_) {
      const auto it = pending_.find(sequence);
      if (it != pending_.end()) it->second.sent.reset();
    }
  }
  appending_.clear();
  append_not_before_ = now + kReaderTimeout;
}

bool LogFollower::SnapshotDue(TimePoint now) const {
  const std::uint64_t next = state_.next_offset();
  const std::uint64_t base = state_.snapshot_base();
  const std::uint64_t since = next - std::max<std::uint64_t>(base, 1);
  const bool interval_elapsed = !last_chunk_at_ || now - *last_chunk_at_ >= kSnapshotInterval;
  if (since >= kSnapshotRecords && interval_elapsed) return true;
  // If the log removes old records, the snapshot must not be in the older half of the retained
  // ones.
  const bool log_removes_records = first_retained_ > 1;
  return log_removes_records && next > first_retained_ &&
         base < first_retained_ + (next - first_retained_) / 2;
}

std::size_t LogFollower::DataCentreRank() const {
  const auto& all = state_.delegations();
  return static_cast<std::size_t>(std::distance(all.begin(), all.find(self_.data_centre)));
}

void LogFollower::WriteSnapshot(TimePoint now) {
  if (!reader_ || !ready() || LogIsDown(now)) {
    chunks_to_write_.clear();
    snapshot_due_since_.reset();
    return;
  }
  if (chunks_to_write_.empty()) {
    const bool other_writer = last_chunk_at_ && now - *last_chunk_at_ < kSnapshotWriterTimeout;
    if (!SnapshotDue(now) || other_writer) {
      snapshot_due_since_.reset();
      return;
    }
    if (!snapshot_due_since_) snapshot_due_since_ = now;
    const Duration wait = static_cast<int>(DataCentreRank()) * kSnapshotRankDelay;
    if (now - *snapshot_due_since_ < wait) return;
    const std::vector<SnapshotChunk> chunks = MakeSnapshot(state_);
    chunks_to_write_.assign(chunks.begin(), chunks.end());
    snapshot_due_since_.reset();
    last_chunk_at_ = now;
  }
  const auto in_flight = std::count_if(pending_.begin(), pending_.end(), [](const auto& entry) {
    return IsChunk(entry.second.record.body);
  });
  for (std::size_t n = static_cast<std::size_t>(in_flight);
       n < kMaxPendingChunks && !chunks_to_write_.empty(); ++n) {
    if (!Submit(actor_, "snapshot", chunks_to_write_.front())) return;
    chunks_to_write_.pop_front();
  }
}

void LogFollower::Tick(TimePoint now, std::int64_t unix_ms, const Membership& membership,
                       Outbox& out) {
  now_ = now;
  unix_ms_ = unix_ms;
  state_.RefreshExceptions(unix_ms);
  UpdatePeers(now, membership);
  DecideReader(now, membership);
  UpdateReady(now);
  CatchUpFromPeers(now, out);
  WriteSnapshot(now);
  SendAppends(now);
  SendReads(now);
  if (reader_ && (!last_relay_sent_ || now - *last_relay_sent_ >= kRelayInterval)) {
    Relay(now, state_.next_offset(), out);
  }
}

}  // namespace dogwoodport
