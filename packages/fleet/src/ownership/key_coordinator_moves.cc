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
                                                              bool confirmed) const {
  const TimePoint now = ports_.now();
  ReleaseState release;
  release.holder_token = range.previous_token;
  release.last_grant_at = now;
  // A target that has confirmed this coordinator's token refuses older grants.
  release.token_unconfirmed = !confirmed;
  release.earlier_grants_done_at = confirmed ? now : took_over_at_ + MaxHoldTime();
  return release;
}

TimePoint KeyCoordinator::FreeAt(const ReleaseState& release) const {
  const TimePoint last_grant = release.token_unconfirmed
                                   ? std::max(release.last_grant_at, sole_leader_from_)
                                   : release.last_grant_at;
  return last_grant + MaxHoldTime();
}

bool KeyCoordinator::IsFree(const KeyRange& range, const ReleaseState& release) const {
  const TimePoint now = ports_.now();
  if (now >= FreeAt(release)) return true;
  const Target* const previous = ports_.directory->Find(range.previous);
  if (previous != nullptr && previous->entry.incarnation != range.previous_incarnation) return true;
  return release.release_confirmed;
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
      GrantState& state = grant_states_[id];
      if (state.token != it.fencing_token || state.incarnation != it.incarnation ||
          state.last != it.last) {
        state = GrantState{it.fencing_token, it.incarnation, it.last, false, false, now};
      }
      if (!state.call_in_flight && now >= state.renew_at) SendGrant(service, it, "");
    }
  }
  for (auto it = grant_states_.begin(); it != grant_states_.end();) {
    it = existing.count(it->first) > 0 ? std::next(it) : grant_states_.erase(it);
  }
  for (auto it = release_states_.begin(); it != release_states_.end();) {
    it = existing.count(it->first) > 0 ? std::next(it) : release_states_.erase(it);
  }
}

void KeyCoordinator::ContinueMove(const std::string& service, KeyRange& range) {
  const RangeId id(service, range.first);
  const TimePoint now = ports_.now();
  ReleaseState& release = release_states_[id];
  if (release.holder_token != range.previous_token) {
    release = MakeReleaseState(range, false);
  }
  const Target* const previous = ports_.directory->Find(range.previous);
  if (!release.released && IsFree(range, release)) {
    release.released = true;
    Log(LogLevel::kInfo, "keys_free",
        {{"service", service},
         {"first", range.first},
         {"last", range.last},
         {"target", range.previous},
         {"answered", release.release_confirmed}});
  }
  if (release.released) {
    GrantState& state = grant_states_[id];
    if (state.token != range.fencing_token || state.last != range.last) {
      state = GrantState{range.fencing_token, range.incarnation, range.last, false, false, now};
    }
    // The pending record may name a different destination.
    if (pending_ && !state.confirmed) return;
    if (!state.call_in_flight && now >= state.renew_at) SendGrant(service, range, release.handover);
    return;
  }
  const bool may_release = now >= std::max(release.next_call_at, release.earlier_grants_done_at) &&
                           HasNoPendingGrant(range.previous);
  if (previous != nullptr && !release.call_in_flight && !release.release_confirmed && may_release) {
    SendRelease(service, range, release);
  }
}

void KeyCoordinator::SendRelease(const std::string& service, const KeyRange& range,
                                 ReleaseState& release) {
  const Target* const previous = ports_.directory->Find(range.previous);
  release.call_in_flight = true;
  Grant grant;
  grant.first = range.first;
  grant.last = range.last;
  grant.fencing_token = range.previous_token;
  const RangeId id(service, range.first);
  // A target responds to a release once the work on the keys has ended, which may take as long as a
  // request.
  const Duration timeout = std::max(settings_.call_timeout, FreeAt(release) - ports_.now());
  ports_.call(previous->entry.address, ports_.protocol->MakeRelease(previous->entry, grant),
              timeout,
              Guarded(alive_, term_, [this, id](const std::optional<net::HttpResponse>& response) {
                const auto it = release_states_.find(id);
                if (it == release_states_.end()) return;
                it->second.call_in_flight = false;
                it->second.next_call_at = ports_.now() + kRetryInterval;
                if (!response || response->status != net::status::kOk) return;
                it->second.release_confirmed = true;
                it->second.handover = ports_.protocol->ReadHandover(*response);
                RenewRanges();
              }));
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
  ports_.call(target->entry.address, ports_.protocol->MakeGrant(target->entry, grant),
              settings_.call_timeout,
              Guarded(alive_, term_,
                      [this, id, owner = range.owner, token = range.fencing_token](
                          const std::optional<net::HttpResponse>& response) {
                        OnGrantResponse(id, owner, token, response);
                      }));
}

void KeyCoordinator::OnGrantResponse(const RangeId& id, const std::string& owner,
                                     std::uint64_t token,
                                     const std::optional<net::HttpResponse>& response) {
  --grants_in_flight_[owner];
  if (!response) {
    // The grant may still be applied, even after a release.
    unanswered_grant_until_[owner] = ports_.now() + MaxHoldTime();
  }
  const auto it = grant_states_.find(id);
  if (it == grant_states_.end() || it->second.token != token) return;
  GrantState& state = it->second;
  state.call_in_flight = false;
  if (!response) return;
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
