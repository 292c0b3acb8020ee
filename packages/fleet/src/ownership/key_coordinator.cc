#include "dogwoodport/fleet/ownership/key_coordinator.h"

#include <algorithm>
#include <utility>

namespace dogwoodport::fleet {
namespace {

constexpr const char* kTableKey = "table";
/// Wait before a call that got no answer is repeated.
constexpr Duration kRetryInterval{300'000};
constexpr int kOk = 200;
constexpr int kConflict = 409;

/// Makes a callback that does nothing once the object has ended or changed its role.
template <typename Callback>
auto Guarded(const std::shared_ptr<bool>& alive, const std::uint64_t& term, Callback callback) {
  return [weak = std::weak_ptr<bool>(alive), term_now = term, &term,
          callback = std::move(callback)](auto&&... args) {
    if (weak.expired() || term != term_now) return;
    callback(std::forward<decltype(args)>(args)...);
  };
}

const std::string* NewestTable(const StoreRecords& records) {
  const std::string* newest = nullptr;
  for (const StoreRecord& it : records.records) {
    if (it.key == kTableKey && it.value) newest = &*it.value;
  }
  return newest;
}

std::uint64_t NewestOffset(const StoreRecords& records) {
  std::uint64_t offset = 0;
  for (const StoreRecord& it : records.records) {
    if (it.key == kTableKey) offset = it.offset;
  }
  return offset;
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
        if (const std::string* const bytes = NewestTable(*records)) {
          try {
            table = DecodeKeyTable(*bytes);
            ResolveTokens(table, NewestOffset(*records));
          } catch (const std::exception& e) {
            // Without the table nobody knows who holds what; an operator has to decide.
            Log(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
            StepDown("the ownership record cannot be read");
            return;
          }
        }
        AppendTakeOver(std::move(table), records->end);
      }));
}

void KeyCoordinator::AppendTakeOver(KeyTable table, std::uint64_t end) {
  table.generation = 0;
  table.coordinator = self_;
  table.serial = 0;
  table.revision = 0;
  for (auto& [service, ranges] : table.services) {
    for (KeyRange& it : ranges) {
      it.fencing_token = 0;
      it.ready = it.previous.empty() && !it.owner.empty();
    }
    MergeNeighbours(ranges);
  }
  const std::string bytes = Encode(table);
  ports_.store->Append(Feed::kOwnership, kTableKey, bytes, end,
                       Guarded(alive_, term_, [this, table](const AppendOutcome& outcome) {
                         if (const auto* const appended = std::get_if<Appended>(&outcome)) {
                           Lead(table, appended->offset);
                         } else {
                           StepDown("the take-over was not recorded");
                         }
                       }));
}

void KeyCoordinator::Lead(KeyTable table, std::uint64_t offset) {
  ++term_;
  role_ = Role::kLeading;
  ResolveTokens(table, offset);
  table_ = std::move(table);
  end_ = offset + 1;
  took_over_at_ = confirmed_at_ = ports_.now();
  alone_from_ = took_over_at_ + settings_.unconfirmed_limit;
  plan_at_ = took_over_at_;
  pending_.reset();
  resolving_ = confirming_ = false;
  holdings_.clear();
  takings_.clear();
  unsettled_until_.clear();
  grants_in_flight_.clear();
  Log(LogLevel::kInfo, "coordinator_started", {{"services", table_.services.size()}});
  Publish();
  Tick();
}

void KeyCoordinator::StepDown(const char* reason) {
  if (role_ == Role::kFollowing) return;
  Log(LogLevel::kWarning, "coordinator_stopped", {{"reason", reason}});
  ++term_;
  role_ = Role::kFollowing;
  holdings_.clear();
  takings_.clear();
}

void KeyCoordinator::Tick() {
  if (role_ != Role::kLeading) return;
  ConfirmRole();
  if (role_ != Role::kLeading) return;
  if (ports_.now() < alone_from_ && ports_.others_follow()) alone_from_ = ports_.now();
  RenewRanges();
  if (pending_) {
    if (!resolving_ && ports_.now() >= resolve_at_) ResolvePending();
  } else if (ports_.now() >= plan_at_) {
    Plan();
  }
}

void KeyCoordinator::ConfirmRole() {
  if (confirming_ || pending_) return;
  confirming_ = true;
  const TimePoint sent_at = ports_.now();
  ports_.store->Read(Feed::kOwnership, end_, settings_.confirm_wait,
                     Guarded(alive_, term_, [this, sent_at](const ReadOutcome& outcome) {
                       confirming_ = false;
                       OnConfirmed(sent_at, outcome);
                     }));
}

void KeyCoordinator::OnConfirmed(TimePoint sent_at, const ReadOutcome& outcome) {
  const auto* const records = std::get_if<StoreRecords>(&outcome);
  if (records == nullptr) return;
  // Records of this instance may have been appended while the read was waiting.
  for (const StoreRecord& it : records->records) {
    if (it.offset < end_ || !it.value) continue;
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
  // While a record is pending, no range moves; so none is begun when the store may be away.
  if (now - confirmed_at_ > settings_.plan_limit) return;
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
  // A merged range gets a new token, which must not become the token of a holder in a new move.
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
  const auto [it, is_new] = gatherings_.try_emplace(service);
  Gathering& gathering = it->second;
  if (is_new) gathering.since = now;
  if (candidates.size() > gathering.candidates) {
    gathering.candidates = candidates.size();
    gathering.grown_at = now;
  }
  return now - gathering.grown_at >= settings_.first_split_quiet ||
         now - gathering.since >= settings_.first_split_wait;
}

bool KeyCoordinator::MayHaveTwoHolders(const std::string& service, const KeyRange& range) const {
  const bool inherited = !range.previous.empty() && range.fencing_token == table_.generation;
  if (!inherited || range.ready) return false;
  const auto taking = takings_.find(RangeId(service, range.first));
  return taking == takings_.end() || !taking->second.released;
}

void KeyCoordinator::ReplaceLostDestinations(const std::string& service, KeyRanges& ranges,
                                             const std::vector<OwnerCandidate>& candidates) const {
  for (KeyRange& it : ranges) {
    const auto taking = takings_.find(RangeId(service, it.first));
    if (it.previous.empty() || it.ready || taking == takings_.end()) continue;
    const bool lost = std::none_of(candidates.begin(), candidates.end(),
                                   [&](const OwnerCandidate& c) { return c.id == it.owner; });
    // Once the range was free, the destination may have taken a grant that it did not answer.
    if (!lost || !taking->second.released) continue;
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
  ports_.store->Append(Feed::kOwnership, kTableKey, Encode(*pending_), end_,
                       Guarded(alive_, term_, [this](const AppendOutcome& outcome) {
                         if (const auto* const appended = std::get_if<Appended>(&outcome)) {
                           Adopt(*pending_, appended->offset);
                         } else {
                           ResolvePending();
                         }
                       }));
}

void KeyCoordinator::ResolvePending() {
  // The append may have been done, may be done later, or another instance has written.
  resolving_ = true;
  ports_.store->ReadNewest(
      Feed::kOwnership, Guarded(alive_, term_, [this](const ReadOutcome& outcome) {
        resolving_ = false;
        resolve_at_ = ports_.now() + kRetryInterval;
        const auto* const records = std::get_if<StoreRecords>(&outcome);
        if (records == nullptr) return;
        const std::string* const bytes = NewestTable(*records);
        const std::uint64_t offset = NewestOffset(*records);
        try {
          const KeyTable newest = bytes == nullptr ? KeyTable{} : DecodeKeyTable(*bytes);
          const bool own = newest.coordinator == self_ &&
                           (newest.generation == table_.generation || offset == table_.generation);
          if (own && newest.serial == pending_->serial) {
            Adopt(newest, offset);
          } else if (own && newest.serial == table_.serial) {
            // The same record once more: whichever of the two is appended, its content is the same.
            end_ = records->end;
            AppendPending();
          } else {
            StepDown("the ownership feed has another writer");
          }
        } catch (const std::exception& e) {
          Log(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
          StepDown("the ownership record cannot be read");
        }
      }));
}

void KeyCoordinator::Adopt(KeyTable next, std::uint64_t offset) {
  pending_.reset();
  resolving_ = false;
  end_ = offset + 1;
  ResolveTokens(next, offset);
  for (auto& [service, ranges] : next.services) {
    for (KeyRange& it : ranges) {
      // A grant may have been confirmed while the record was being written.
      const auto held = holdings_.find(RangeId(service, it.first));
      it.ready = it.ready || (held != holdings_.end() && held->second.confirmed &&
                              held->second.token == it.fencing_token);
      if (it.previous.empty() || it.previous_token == 0) continue;
      const RangeId id(service, it.first);
      const KeyRange* const before = table_.Find(service, it.first);
      // A range that was ready had finished its move; the new one may be from the same holder and
      // token, but needs a release of its own.
      const bool in_progress = before != nullptr && !before->ready;
      const auto taking = takings_.find(id);
      if (in_progress && taking != takings_.end() &&
          taking->second.holder_token == it.previous_token) {
        continue;
      }
      const auto holding =
          before == nullptr ? holdings_.end() : holdings_.find(RangeId(service, before->first));
      const bool confirmed = holding != holdings_.end() && holding->second.confirmed;
      takings_[id] = MakeTaking(it, confirmed);
      moved_share_ += static_cast<double>(it.size()) / kKeyCount;
    }
  }
  next.revision = std::max(next.revision, table_.revision);
  table_ = std::move(next);
  confirmed_at_ = std::max(confirmed_at_, ports_.now() - settings_.call_timeout);
  Publish();
  RenewRanges();
}

Duration KeyCoordinator::LongestHold() const {
  return settings_.call_timeout + settings_.lease * (100 + settings_.clock_drift_percent) / 100 +
         settings_.margin;
}

KeyCoordinator::Taking KeyCoordinator::MakeTaking(const KeyRange& range, bool confirmed) const {
  const TimePoint now = ports_.now();
  Taking taking;
  taking.holder_token = range.previous_token;
  taking.since = now;
  // A holder that has seen this coordinator's token refuses older grants.
  taking.unconfirmed = !confirmed;
  taking.settled_at = confirmed ? now : took_over_at_ + LongestHold();
  return taking;
}

TimePoint KeyCoordinator::FreeAt(const Taking& taking) const {
  const TimePoint last_grant =
      taking.unconfirmed ? std::max(taking.since, alone_from_) : taking.since;
  return last_grant + LongestHold();
}

bool KeyCoordinator::IsFree(const KeyRange& range, const Taking& taking) const {
  const TimePoint now = ports_.now();
  if (now >= FreeAt(taking)) return true;
  const Target* const previous = ports_.directory->Find(range.previous);
  if (previous != nullptr && previous->entry.incarnation != range.previous_incarnation) return true;
  return taking.answered;
}

bool KeyCoordinator::IsSettled(const std::string& target) const {
  const auto in_flight = grants_in_flight_.find(target);
  if (in_flight != grants_in_flight_.end() && in_flight->second > 0) return false;
  const auto unsettled = unsettled_until_.find(target);
  return unsettled == unsettled_until_.end() || ports_.now() >= unsettled->second;
}

void KeyCoordinator::RenewRanges() {
  const TimePoint now = ports_.now();
  if (now - confirmed_at_ > settings_.unconfirmed_limit) return;
  std::set<RangeId> present;
  for (auto& [service, ranges] : table_.services) {
    for (KeyRange& it : ranges) {
      const RangeId id(service, it.first);
      present.insert(id);
      if (!it.previous.empty()) {
        ContinueMove(service, it);
        continue;
      }
      Holding& holding = holdings_[id];
      if (holding.token != it.fencing_token || holding.incarnation != it.incarnation ||
          holding.last != it.last) {
        holding = Holding{it.fencing_token, it.incarnation, it.last, false, false, now};
      }
      if (!holding.calling && now >= holding.renew_at) SendGrant(service, it, "");
    }
  }
  for (auto it = holdings_.begin(); it != holdings_.end();) {
    it = present.count(it->first) > 0 ? std::next(it) : holdings_.erase(it);
  }
  for (auto it = takings_.begin(); it != takings_.end();) {
    it = present.count(it->first) > 0 ? std::next(it) : takings_.erase(it);
  }
}

void KeyCoordinator::ContinueMove(const std::string& service, KeyRange& range) {
  const RangeId id(service, range.first);
  const TimePoint now = ports_.now();
  Taking& taking = takings_[id];
  if (taking.holder_token != range.previous_token) {
    taking = MakeTaking(range, false);
  }
  const Target* const previous = ports_.directory->Find(range.previous);
  if (!taking.released && IsFree(range, taking)) {
    taking.released = true;
    Log(LogLevel::kInfo, "keys_free",
        {{"service", service},
         {"first", range.first},
         {"last", range.last},
         {"target", range.previous},
         {"answered", taking.answered}});
  }
  if (taking.released) {
    Holding& holding = holdings_[id];
    if (holding.token != range.fencing_token || holding.last != range.last) {
      holding = Holding{range.fencing_token, range.incarnation, range.last, false, false, now};
    }
    // The record under way may name another destination.
    if (pending_ && !holding.confirmed) return;
    if (!holding.calling && now >= holding.renew_at) SendGrant(service, range, taking.handover);
    return;
  }
  const bool may_release =
      now >= std::max(taking.call_at, taking.settled_at) && IsSettled(range.previous);
  if (previous != nullptr && !taking.calling && !taking.answered && may_release) {
    SendRelease(service, range, taking);
  }
}

void KeyCoordinator::SendRelease(const std::string& service, const KeyRange& range,
                                 Taking& taking) {
  const Target* const previous = ports_.directory->Find(range.previous);
  taking.calling = true;
  Grant grant;
  grant.first = range.first;
  grant.last = range.last;
  grant.fencing_token = range.previous_token;
  const RangeId id(service, range.first);
  // A release is answered when the work on its keys has ended, which may take as long as a request.
  const Duration timeout = std::max(settings_.call_timeout, FreeAt(taking) - ports_.now());
  ports_.call(previous->entry.address, ports_.protocol->MakeRelease(previous->entry, grant),
              timeout,
              Guarded(alive_, term_, [this, id](const std::optional<net::HttpResponse>& response) {
                const auto it = takings_.find(id);
                if (it == takings_.end()) return;
                it->second.calling = false;
                it->second.call_at = ports_.now() + kRetryInterval;
                if (!response || response->status != kOk) return;
                it->second.answered = true;
                it->second.handover = ports_.protocol->ReadHandover(*response);
                RenewRanges();
              }));
}

void KeyCoordinator::SendGrant(const std::string& service, const KeyRange& range,
                               const std::string& handover) {
  const RangeId id(service, range.first);
  Holding& holding = holdings_[id];
  const Target* const target = ports_.directory->Find(range.owner);
  holding.renew_at = ports_.now() + kRetryInterval;
  // An unknown target, or one that has started again, must not get a grant meant for another life.
  if (target == nullptr || target->entry.incarnation != range.incarnation) return;
  holding.calling = true;
  ++grants_in_flight_[range.owner];
  const Grant grant{range.first, range.last, range.fencing_token, settings_.lease, handover};
  ports_.call(target->entry.address, ports_.protocol->MakeGrant(target->entry, grant),
              settings_.call_timeout,
              Guarded(alive_, term_,
                      [this, id, owner = range.owner, token = range.fencing_token](
                          const std::optional<net::HttpResponse>& response) {
                        OnGrantAnswer(id, owner, token, response);
                      }));
}

void KeyCoordinator::OnGrantAnswer(const RangeId& id, const std::string& owner, std::uint64_t token,
                                   const std::optional<net::HttpResponse>& response) {
  --grants_in_flight_[owner];
  if (!response) {
    // The grant may be applied later, also after a release.
    unsettled_until_[owner] = ports_.now() + LongestHold();
  }
  const auto it = holdings_.find(id);
  if (it == holdings_.end() || it->second.token != token) return;
  Holding& holding = it->second;
  holding.calling = false;
  if (!response) return;
  if (response->status == kConflict) {
    // A higher token was seen there: this instance may have been replaced.
    Log(LogLevel::kWarning, "grant_refused", {{"service", id.first}, {"first", id.second}});
    return;
  }
  if (response->status != kOk) return;
  holding.renew_at = ports_.now() + settings_.renewal_interval;
  if (holding.confirmed) return;
  holding.confirmed = true;
  for (KeyRange& range : table_.services[id.first]) {
    // The range may have begun to move meanwhile.
    if (range.first != id.second || range.fencing_token != token || range.ready) continue;
    range.ready = true;
    Publish();
  }
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
