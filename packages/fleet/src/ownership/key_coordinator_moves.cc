// Grants ranges to targets and requests their release from previous owners.

#include <algorithm>

#include "dogwoodport/fleet/ownership/key_coordinator.h"
#include "dogwoodport/net/http_status.h"
#include "guarded.h"

namespace dogwoodport::fleet {
namespace {

/// Wait time before a call without a successful response is retried.
constexpr Duration kRetryInterval{300'000};
/// Maximum delay before the end of a move is recorded. Moves that end within it share a record.
constexpr Duration kMoveEndRecordDelay{200'000};

}  // namespace

Duration KeyCoordinator::MaxHoldTime() const {
  return settings_.call_timeout + settings_.lease * (100 + settings_.clock_drift_percent) / 100 +
         settings_.margin;
}

KeyCoordinator::ReleaseState KeyCoordinator::MakeReleaseState(const KeyRange& range,
                                                              bool token_confirmed) {
  ReleaseState release;
  release.move = ++last_move_;
  release.holder = {range.previous, range.previous_incarnation};
  release.holder_token = range.previous_token;
  release.last_grant_at = ports_.now();
  release.token_confirmed = token_confirmed;
  return release;
}

bool KeyCoordinator::RefusesEarlierGrants(const ReleaseState& release) const {
  if (!release.token_confirmed) return false;
  const Target* const current = ports_.directory->Find(release.holder.id);
  return current == nullptr || current->entry.incarnation == release.holder.incarnation;
}

TimePoint KeyCoordinator::EarlierGrantsEndAt(const ReleaseState& release) const {
  if (RefusesEarlierGrants(release)) return TimePoint{};
  const TimePoint renewals_end_at = release.inherited
                                        ? std::min(inherited_renewals_end_at_, sole_leader_from_)
                                        : sole_leader_from_;
  return renewals_end_at + MaxHoldTime();
}

TimePoint KeyCoordinator::FreeAt(const ReleaseState& release) const {
  return std::max(release.last_grant_at + MaxHoldTime(), EarlierGrantsEndAt(release));
}

bool KeyCoordinator::IsFree(const ReleaseState& release) const {
  return release.release_confirmed || ports_.now() >= FreeAt(release);
}

bool KeyCoordinator::HasNoPendingGrant(const std::string& target) const {
  const auto in_flight = grants_in_flight_.find(target);
  if (in_flight != grants_in_flight_.end() && in_flight->second > 0) return false;
  const auto unanswered = unanswered_grant_until_.find(target);
  return unanswered == unanswered_grant_until_.end() || ports_.now() >= unanswered->second;
}

void KeyCoordinator::RenewRanges() {
  const TimePoint now = ports_.now();
  if (now - confirmed_at_ > settings_.unconfirmed_renewal_limit) return;
  std::set<RangeId> existing;
  for (auto& [service, ranges] : table_.services) {
    for (KeyRange& it : ranges) {
      const RangeId id(service, it.first);
      existing.insert(id);
      if (!it.previous.empty()) {
        ContinueMove(service, it);
        continue;
      }
      RenewOwner(service, it, "");
    }
  }
  // Parts of ranges have grants of their own while a record is pending.
  if (pending_) return;
  for (auto it = grant_states_.begin(); it != grant_states_.end();) {
    it = existing.count(it->first) > 0 ? std::next(it) : grant_states_.erase(it);
  }
  for (auto it = release_states_.begin(); it != release_states_.end();) {
    it = existing.count(it->first) > 0 ? std::next(it) : release_states_.erase(it);
  }
}

std::vector<KeyRange> KeyCoordinator::StayingParts(const std::string& service,
                                                   const KeyRange& range) const {
  if (!pending_) return {range};
  const auto found = pending_->services.find(service);
  if (found == pending_->services.end()) return {range};
  const KeyRanges& planned = found->second;
  auto it = std::lower_bound(
      planned.begin(), planned.end(), range.first,
      [](const KeyRange& other, std::uint16_t first) { return other.last < first; });
  std::vector<KeyRange> parts;
  for (; it != planned.end() && it->first <= range.last; ++it) {
    if (it->owner != range.owner) continue;
    KeyRange part = range;
    part.first = std::max(range.first, it->first);
    part.last = std::min(range.last, it->last);
    parts.push_back(part);
  }
  return parts;
}

void KeyCoordinator::RenewOwner(const std::string& service, const KeyRange& range,
                                const std::string& handover) {
  const TimePoint now = ports_.now();
  for (const KeyRange& part : StayingParts(service, range)) {
    GrantState& state = grant_states_[RangeId(service, part.first)];
    if (state.token != part.fencing_token || state.incarnation != part.incarnation ||
        state.last != part.last) {
      state = GrantState{part.fencing_token, part.incarnation, part.last, false, false, now};
    }
    if (!state.call_in_flight && now >= state.renew_at) SendGrant(service, part, handover);
  }
}

void KeyCoordinator::ContinueMove(const std::string& service, KeyRange& range) {
  const RangeId id(service, range.first);
  const TimePoint now = ports_.now();
  ReleaseState& release = release_states_[id];
  if (release.holder_token != range.previous_token) {
    release = MakeReleaseState(range, false);
  }
  if (!release.released && IsFree(release)) {
    release.released = true;
    Log(LogLevel::kInfo, "keys_free",
        {{"service", service},
         {"first", range.first},
         {"last", range.last},
         {"target", range.previous},
         {"incarnation", range.previous_incarnation},
         {"asked_incarnation", release.asked_incarnation.value_or(0)},
         {"answered", release.release_confirmed}});
  }
  if (release.released) {
    // The pending record may name a different destination.
    if (!pending_ || range.ready) RenewOwner(service, range, release.handover);
    return;
  }
  const Target* const previous = ports_.directory->Find(range.previous);
  if (previous == nullptr) return;
  // A restarted target is asked at once. The release sent to its earlier incarnation may never be
  // answered.
  const bool is_due = release.asked_incarnation != previous->entry.incarnation ||
                      (release.call == 0 && now >= release.next_call_at);
  if (is_due && now >= EarlierGrantsEndAt(release) && HasNoPendingGrant(range.previous)) {
    SendRelease(service, range, release);
  }
}

void KeyCoordinator::SendRelease(const std::string& service, const KeyRange& range,
                                 ReleaseState& release) {
  const Target* const previous = ports_.directory->Find(range.previous);
  const SentRelease sent{release.move, ++last_release_call_};
  release.call = sent.call;
  release.asked_incarnation = previous->entry.incarnation;
  Grant grant;
  grant.first = range.first;
  grant.last = range.last;
  grant.fencing_token = range.previous_token;
  const RangeId id(service, range.first);
  // A target responds to a release once the work on the keys has ended, which may take as long as a
  // request.
  const Duration timeout = std::max(settings_.call_timeout, FreeAt(release) - ports_.now());
  ports_.call(previous->entry.address, ports_.protocol->MakeRelease(previous->entry, grant),
              timeout, net::CallConnection::kNew,
              Guarded(alive_, term_, [this, id, sent](const net::CallOutcome& outcome) {
                OnReleaseResponse(id, sent, outcome);
              }));
}

void KeyCoordinator::OnReleaseResponse(const RangeId& id, const SentRelease& sent,
                                       const net::CallOutcome& outcome) {
  const auto it = release_states_.find(id);
  if (it == release_states_.end() || it->second.move != sent.move) return;
  ReleaseState& release = it->second;
  if (release.call == sent.call) {
    release.call = 0;
    release.next_call_at = ports_.now() + kRetryInterval;
  }
  const net::HttpResponse* const response = net::ResponseOf(outcome);
  if (response == nullptr || response->status != net::status::kOk) return;
  release.release_confirmed = true;
  release.handover = ports_.protocol->ReadHandover(*response);
  RenewRanges();
}

void KeyCoordinator::SendGrant(const std::string& service, const KeyRange& range,
                               const std::string& handover) {
  const RangeId id(service, range.first);
  GrantState& state = grant_states_[id];
  const Target* const target = ports_.directory->Find(range.owner);
  state.renew_at = ports_.now() + kRetryInterval;
  // A target that is unknown or has restarted must not receive a grant for an earlier incarnation.
  if (target == nullptr || target->entry.incarnation != range.incarnation) return;
  state.call_in_flight = true;
  ++grants_in_flight_[range.owner];
  const Grant grant{range.first, range.last, range.fencing_token, settings_.lease, handover};
  // A second response to an earlier call must not confirm this one.
  const auto connection =
      state.confirmed ? net::CallConnection::kReused : net::CallConnection::kNew;
  ports_.call(target->entry.address, ports_.protocol->MakeGrant(target->entry, grant),
              settings_.call_timeout, connection,
              Guarded(alive_, term_,
                      [this, id, owner = range.owner,
                       token = range.fencing_token](const net::CallOutcome& outcome) {
                        OnGrantResponse(id, owner, token, outcome);
                      }));
}

void KeyCoordinator::OnGrantResponse(const RangeId& id, const std::string& owner,
                                     std::uint64_t token, const net::CallOutcome& outcome) {
  --grants_in_flight_[owner];
  const net::HttpResponse* const response = net::ResponseOf(outcome);
  if (response == nullptr && std::get<net::NoResponse>(outcome) == net::NoResponse::kUnanswered) {
    // The grant may still be applied, even after a release.
    unanswered_grant_until_[owner] = ports_.now() + MaxHoldTime();
  }
  const auto it = grant_states_.find(id);
  if (it == grant_states_.end() || it->second.token != token) return;
  GrantState& state = it->second;
  state.call_in_flight = false;
  if (response == nullptr) return;
  if (response->status == net::status::kConflict) {
    // The target has seen a higher token, so this instance may have been replaced as coordinator.
    Log(LogLevel::kWarning, "grant_refused", {{"service", id.first}, {"first", id.second}});
    return;
  }
  if (response->status != net::status::kOk) return;
  state.renew_at = ports_.now() + settings_.renewal_interval;
  if (state.confirmed) return;
  state.confirmed = true;
  for (KeyRange& range : table_.services[id.first]) {
    // The range may have started to move in the meantime.
    if (range.first != id.second || range.fencing_token != token || range.ready) continue;
    range.ready = true;
    // Records the end of a move soon; otherwise a new coordinator would wait for the previous owner
    // again.
    if (!range.previous.empty()) plan_at_ = std::min(plan_at_, ports_.now() + kMoveEndRecordDelay);
    Publish();
  }
}

}  // namespace dogwoodport::fleet
