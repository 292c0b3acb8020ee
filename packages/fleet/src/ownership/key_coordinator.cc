#include "dogwoodport/fleet/ownership/key_coordinator.h"

#include <algorithm>
#include <utility>

#include "guarded.h"

namespace dogwoodport::fleet {
namespace {

constexpr const char* kTableKey = "table";
/// Interval at which the outcome of an append is checked.
constexpr Duration kResolveInterval{300'000};

/// Returns the newest record of the table, or nullptr.
const StoreRecord* NewestTable(const StoreRecords& records) {
  const StoreRecord* newest = nullptr;
  for (const StoreRecord& it : records.records) {
    if (it.key == kTableKey && it.value) newest = &it;
  }
  return newest;
}

}  // namespace

KeyCoordinator::KeyCoordinator(CoordinatorPorts ports, CoordinatorSettings settings,
                               std::string self)
    : ports_(std::move(ports)), settings_(settings), self_(std::move(self)) {}

KeyCoordinator::~KeyCoordinator() = default;

void KeyCoordinator::Log(LogLevel level, const char* event, nlohmann::json fields) {
  fields["generation"] = table_.generation;
  ports_.log->Write(level, event, fields);
}

void KeyCoordinator::TakeOver() {
  if (role_ != Role::kFollowing) return;
  ++term_;
  role_ = Role::kTakingOver;
  ReadBeforeTakeOver();
}

void KeyCoordinator::ReadBeforeTakeOver() {
  ports_.store->ReadNewest(
      Feed::kOwnership, Guarded(alive_, term_, [this](const ReadOutcome& outcome) {
        const auto* const records = std::get_if<StoreRecords>(&outcome);
        if (records == nullptr) {
          StepDown("the store could not be read");
          return;
        }
        KeyTable table;
        if (const StoreRecord* const newest = NewestTable(*records)) {
          try {
            table = DecodeRecordedTable(*newest->value, newest->offset);
          } catch (const std::exception& e) {
            // Without the table, the current holders are unknown; an operator has to decide.
            Log(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
            StepDown("the ownership record cannot be read");
            return;
          }
        }
        AppendTakeOver(std::move(table), records->end);
      }));
}

void KeyCoordinator::ObserveGeneration(std::uint64_t generation) {
  const TimePoint now = ports_.now();
  if (!observed_generations_.empty() && generation <= observed_generations_.back().first) return;
  observed_generations_.emplace_back(generation, now);
  // Of those that have ended all renewals of earlier generations, the last one is enough.
  const auto recent = std::find_if(
      observed_generations_.begin() + 1, observed_generations_.end(),
      [&](const auto& it) { return now - it.second < settings_.unconfirmed_renewal_limit; });
  observed_generations_.erase(observed_generations_.begin(), recent - 1);
}

TimePoint KeyCoordinator::RenewalsEndAt(std::uint64_t generation) const {
  const auto replaced =
      std::find_if(observed_generations_.begin(), observed_generations_.end(),
                   [generation](const auto& it) { return it.first > generation; });
  const TimePoint replaced_at =
      replaced == observed_generations_.end() ? ports_.now() : replaced->second;
  return replaced_at + settings_.unconfirmed_renewal_limit;
}

void KeyCoordinator::AddPredecessor(KeyTable& table) {
  const TimePoint now = ports_.now();
  if (lending_start_.first) table.earlier_renewers.emplace();
  inherited_renewals_end_at_ = now;
  if (!table.earlier_renewers) {
    inherited_renewals_end_at_ += settings_.unconfirmed_renewal_limit;
    return;
  }
  std::vector<EarlierRenewer>& renewers = *table.earlier_renewers;
  // This instance does not renew grants of its earlier terms.
  const auto has_ended = [&](const EarlierRenewer& it) {
    return it.address == self_ || RenewalsEndAt(it.generation) <= now;
  };
  renewers.erase(std::remove_if(renewers.begin(), renewers.end(), has_ended), renewers.end());
  for (const EarlierRenewer& it : renewers) {
    inherited_renewals_end_at_ = std::max(inherited_renewals_end_at_, RenewalsEndAt(it.generation));
  }
  const bool has_predecessor = !table.coordinator.empty() && table.coordinator != self_;
  if (has_predecessor) renewers.push_back({table.coordinator, table.generation});
}

void KeyCoordinator::AppendTakeOver(KeyTable table, std::uint64_t feed_end) {
  lending_start_ = LendingStart{};
  lending_start_.first = feed_end == 0;
  lending_start_.predecessor = table.coordinator;
  lending_start_.predecessor_generation = table.generation;
  lending_start_.predecessor_settled = table.takeovers == 0;
  const bool loans_expired =
      ports_.earlier_loans_expired && ports_.earlier_loans_expired(table.generation);
  if (!lending_start_.first) ObserveGeneration(table.generation);
  AddPredecessor(table);
  table.takeovers = lending_start_.first ? 0 : 1 + (loans_expired ? 0 : table.takeovers);
  lending_start_.takeovers = table.takeovers;
  table.generation = 0;
  table.coordinator = self_;
  table.serial = 0;
  table.revision = 0;
  for (auto& [service, ranges] : table.services) {
    for (KeyRange& it : ranges) {
      it.fencing_token = 0;
    }
    MergeNeighbours(ranges);
  }
  const std::string bytes = Encode(table);
  const TimePoint sent_at = ports_.now();
  ports_.store->Append(Feed::kOwnership, kTableKey, bytes, feed_end,
                       Guarded(alive_, term_, [this, table, sent_at](const AppendOutcome& outcome) {
                         if (const auto* const appended = std::get_if<Appended>(&outcome)) {
                           StartLeading(table, appended->offset, sent_at);
                         } else {
                           StepDown("the take-over record could not be appended");
                         }
                       }));
}

void KeyCoordinator::StartLeading(KeyTable table, std::uint64_t offset, TimePoint sent_at) {
  ++term_;
  role_ = Role::kLeading;
  ResolveTokens(table, offset);
  table_ = std::move(table);
  feed_end_ = offset + 1;
  took_over_at_ = ports_.now();
  confirmed_at_ = sent_at;
  lending_start_.generation = table_.generation;
  lending_start_.took_over_at = took_over_at_;
  lending_start_.confirmed_at = sent_at;
  ObserveGeneration(table_.generation);
  inherited_renewals_end_at_ = std::max(inherited_renewals_end_at_, took_over_at_);
  sole_leader_from_ = inherited_renewals_end_at_;
  const bool has_predecessor =
      !lending_start_.predecessor.empty() && lending_start_.predecessor != self_;
  if (has_predecessor) sole_leader_from_ = took_over_at_ + settings_.unconfirmed_renewal_limit;
  plan_at_ = took_over_at_;
  pending_.reset();
  resolving_ = confirming_ = false;
  grant_states_.clear();
  release_states_.clear();
  unanswered_grant_until_.clear();
  grants_in_flight_.clear();
  for (const auto& [service, ranges] : table_.services) {
    for (const KeyRange& it : ranges) {
      if (it.previous.empty()) continue;
      ReleaseState& release = release_states_[RangeId(service, it.first)];
      release = MakeReleaseState(it, false);
      release.inherited = true;
    }
  }
  Log(LogLevel::kInfo, "coordinator_started", {{"services", table_.services.size()}});
  Publish();
  Tick();
}

void KeyCoordinator::StepDown(const char* reason) {
  if (role_ == Role::kFollowing) return;
  Log(LogLevel::kWarning, "coordinator_stopped", {{"reason", reason}});
  ++term_;
  role_ = Role::kFollowing;
  grant_states_.clear();
  release_states_.clear();
}

void KeyCoordinator::Tick() {
  if (role_ != Role::kLeading) return;
  ConfirmRole();
  if (role_ != Role::kLeading) return;
  if (ports_.now() < sole_leader_from_ && EarlierRenewersFollow()) {
    sole_leader_from_ = ports_.now();
  }
  RenewRanges();
  if (pending_) {
    if (!resolving_ && ports_.now() >= resolve_at_) ResolvePending();
  } else if (ports_.now() >= plan_at_) {
    Plan();
  }
}

bool KeyCoordinator::EarlierRenewersFollow() const {
  if (!table_.earlier_renewers) return ports_.others_follow(std::nullopt);
  std::vector<std::string> addresses;
  for (const EarlierRenewer& it : *table_.earlier_renewers) addresses.push_back(it.address);
  return ports_.others_follow(addresses);
}

void KeyCoordinator::ConfirmRole() {
  if (confirming_ || pending_) return;
  confirming_ = true;
  const TimePoint sent_at = ports_.now();
  ports_.store->Read(Feed::kOwnership, feed_end_, settings_.confirm_wait,
                     Guarded(alive_, term_, [this, sent_at](const ReadOutcome& outcome) {
                       confirming_ = false;
                       OnConfirmed(sent_at, outcome);
                     }));
}

void KeyCoordinator::OnConfirmed(TimePoint sent_at, const ReadOutcome& outcome) {
  const auto* const records = std::get_if<StoreRecords>(&outcome);
  if (records == nullptr) return;
  // Records of this instance may have been appended while the read was waiting, so a record in the
  // response does not imply another coordinator.
  for (const StoreRecord& it : records->records) {
    if (it.offset < feed_end_ || !it.value) continue;
    try {
      const KeyTable table = DecodeKeyTable(*it.value);
      if (table.coordinator != self_) {
        StepDown("another instance has taken over");
        return;
      }
    } catch (const std::exception& e) {
      Log(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
    }
  }
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

std::vector<OwnerCandidate> KeyCoordinator::Candidates(const std::string& service) const {
  std::vector<OwnerCandidate> result;
  for (const auto& [id, entry] : ports_.directory->OfService(service)) {
    const Target& target = *entry;
    if (!ports_.may_own(target)) continue;
    result.push_back(
        {id, target.entry.incarnation, ports_.capacity(target), ports_.may_grow(target)});
  }
  return result;
}

void KeyCoordinator::Plan() {
  const TimePoint now = ports_.now();
  plan_at_ = now + settings_.plan_interval;
  // Ranges cannot move while a record is pending, so no plan is made while the store may be
  // unavailable.
  if (now - confirmed_at_ > settings_.unconfirmed_plan_limit) return;
  const bool settled = now - took_over_at_ >= settings_.settling_time;
  KeyTable next = table_;
  bool changed = FinishMoves(next);
  for (const std::string& service : ports_.services()) {
    const std::vector<OwnerCandidate> candidates = Candidates(service);
    KeyRanges& ranges = next.services[service];
    if (ranges.empty()) {
      if (!MaySplit(service, candidates)) continue;
      ranges = SplitEvenly(candidates);
      changed = changed || !ranges.empty();
    } else if (settled) {
      const KeyRanges before = ranges;
      ReplaceLostDestinations(service, ranges, candidates);
      ranges = PlanKeys(ranges, candidates, ports_.load(service), settings_.planner,
                        [&](const KeyRange& it) { return MayHaveTwoHolders(service, it); });
      changed = changed || ranges != before;
    }
  }
  if (next.takeovers > 0 && ports_.earlier_loans_expired &&
      ports_.earlier_loans_expired(table_.generation)) {
    next.takeovers = 0;
    changed = true;
  }
  if (now >= sole_leader_from_ && (!next.earlier_renewers || !next.earlier_renewers->empty())) {
    next.earlier_renewers.emplace();
    changed = true;
  }
  // A merged range gets a new token. Ranges are merged only in a record without other changes,
  // because a move that begins in the same record must name the token its holder has.
  if (!changed) {
    for (auto& [service, ranges] : next.services) {
      const std::size_t before = ranges.size();
      MergeNeighbours(ranges);
      changed = changed || ranges.size() != before;
    }
  }
  if (changed) Record(std::move(next));
}

bool KeyCoordinator::MaySplit(const std::string& service,
                              const std::vector<OwnerCandidate>& candidates) {
  const TimePoint now = ports_.now();
  if (candidates.empty()) return false;
  const auto [it, is_new] = first_splits_.try_emplace(service);
  FirstSplit& first_split = it->second;
  if (is_new) first_split.first_seen_at = now;
  if (candidates.size() > first_split.candidates) {
    first_split.candidates = candidates.size();
    first_split.last_joined_at = now;
  }
  return now - first_split.last_joined_at >= settings_.first_split_quiet_time ||
         now - first_split.first_seen_at >= settings_.first_split_max_wait;
}

bool KeyCoordinator::MayHaveTwoHolders(const std::string& service, const KeyRange& range) const {
  if (range.previous.empty() || range.ready) return false;
  const auto release = release_states_.find(RangeId(service, range.first));
  if (release == release_states_.end()) return range.fencing_token == table_.generation;
  // A destination that has restarted has a new token, but may take grants of the earlier
  // coordinator too.
  return release->second.inherited && !release->second.released;
}

void KeyCoordinator::ReplaceLostDestinations(const std::string& service, KeyRanges& ranges,
                                             const std::vector<OwnerCandidate>& candidates) const {
  for (KeyRange& it : ranges) {
    const auto release = release_states_.find(RangeId(service, it.first));
    if (it.previous.empty() || it.ready || release == release_states_.end()) continue;
    const bool is_lost = std::none_of(candidates.begin(), candidates.end(),
                                      [&](const OwnerCandidate& c) { return c.id == it.owner; });
    // Once the previous owner has released the range, the lost destination may hold it through a
    // grant to which it did not respond.
    if (!is_lost || !release->second.released) continue;
    it.previous = it.owner;
    it.previous_incarnation = it.incarnation;
    it.previous_token = it.fencing_token;
  }
}

void KeyCoordinator::Record(KeyTable next) {
  next.serial = table_.serial + 1;
  next.revision = table_.revision + 1;
  Log(LogLevel::kInfo, "ownership_change", {{"serial", next.serial}});
  pending_ = std::move(next);
  AppendPending();
}

void KeyCoordinator::AppendPending() {
  resolving_ = true;
  const TimePoint sent_at = ports_.now();
  ports_.store->Append(Feed::kOwnership, kTableKey, Encode(*pending_), feed_end_,
                       Guarded(alive_, term_, [this, sent_at](const AppendOutcome& outcome) {
                         if (const auto* const appended = std::get_if<Appended>(&outcome)) {
                           ApplyRecorded(*pending_, appended->offset, sent_at);
                         } else {
                           ResolvePending();
                         }
                       }));
}

void KeyCoordinator::ResolvePending() {
  // The append may have succeeded, may still succeed, or another instance may have written.
  resolving_ = true;
  const TimePoint sent_at = ports_.now();
  ports_.store->ReadNewest(
      Feed::kOwnership, Guarded(alive_, term_, [this, sent_at](const ReadOutcome& outcome) {
        resolving_ = false;
        resolve_at_ = ports_.now() + kResolveInterval;
        const auto* const records = std::get_if<StoreRecords>(&outcome);
        if (records == nullptr) return;
        const StoreRecord* const record = NewestTable(*records);
        const std::uint64_t offset = record == nullptr ? 0 : record->offset;
        try {
          const KeyTable newest = record == nullptr ? KeyTable{} : DecodeKeyTable(*record->value);
          const bool is_own =
              newest.coordinator == self_ &&
              (newest.generation == table_.generation || offset == table_.generation);
          if (is_own && newest.serial == pending_->serial) {
            ApplyRecorded(newest, offset, sent_at);
          } else if (is_own && newest.serial == table_.serial) {
            // Retries the same record. Whichever of the two appends succeeds, the content is the
            // same.
            feed_end_ = records->end;
            AppendPending();
          } else {
            StepDown("another instance has written to the ownership feed");
          }
        } catch (const std::exception& e) {
          Log(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
          StepDown("the ownership record cannot be read");
        }
      }));
}

void KeyCoordinator::ApplyRecorded(KeyTable next, std::uint64_t offset, TimePoint confirmed_at) {
  pending_.reset();
  resolving_ = false;
  feed_end_ = offset + 1;
  ResolveTokens(next, offset);
  for (auto& [service, ranges] : next.services) {
    for (KeyRange& it : ranges) {
      // The grant may have been confirmed while the record was being written.
      const auto held = grant_states_.find(RangeId(service, it.first));
      it.ready = it.ready || (held != grant_states_.end() && held->second.confirmed &&
                              held->second.token == it.fencing_token);
      if (it.previous.empty() || it.previous_token == 0) continue;
      const RangeId id(service, it.first);
      const KeyRange* const before = table_.Find(service, it.first);
      // A range that was ready had completed its move. A new move may be from the same holder with
      // the same token, but needs its own release.
      const bool in_progress = before != nullptr && !before->ready;
      const auto release = release_states_.find(id);
      if (in_progress && release != release_states_.end() &&
          release->second.holder_token == it.previous_token) {
        continue;
      }
      const auto state = before == nullptr ? grant_states_.end()
                                           : grant_states_.find(RangeId(service, before->first));
      const bool confirmed = state != grant_states_.end() && state->second.confirmed;
      release_states_[id] = MakeReleaseState(it, confirmed);
    }
  }
  next.revision = std::max(next.revision, table_.revision);
  table_ = std::move(next);
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  Publish();
  RenewRanges();
}

bool KeyCoordinator::FinishMoves(KeyTable& table) {
  bool finished = false;
  for (auto& [service, ranges] : table.services) {
    for (KeyRange& it : ranges) {
      if (it.previous.empty() || !it.ready) continue;
      it.previous.clear();
      it.previous_token = it.previous_incarnation = 0;
      finished = true;
    }
  }
  return finished;
}

void KeyCoordinator::Publish() {
  ++table_.revision;
  ports_.on_table(table_);
}

}  // namespace dogwoodport::fleet
