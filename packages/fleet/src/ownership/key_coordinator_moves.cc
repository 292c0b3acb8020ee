// How the coordinator grants ranges to targets, and takes them from one for another.

#include <algorithm>

#include "dogwoodport/fleet/ownership/key_coordinator.h"
#include "dogwoodport/net/http_status.h"
#include "guarded.h"

namespace dogwoodport::fleet {
namespace {

/// Wait before a call that got no answer is repeated.
constexpr Duration kRetryInterval{300'000};
/// Longest time until the end of a move is recorded; moves that end within it share a record.
constexpr Duration kFinishInterval{200'000};

}  // namespace

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
                if (!response || response->status != net::status::kOk) return;
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
  if (response->status == net::status::kConflict) {
    // A higher token was seen there: this instance may have been replaced.
    Log(LogLevel::kWarning, "grant_refused", {{"service", id.first}, {"first", id.second}});
    return;
  }
  if (response->status != net::status::kOk) return;
  holding.renew_at = ports_.now() + settings_.renewal_interval;
  if (holding.confirmed) return;
  holding.confirmed = true;
  for (KeyRange& range : table_.services[id.first]) {
    // The range may have begun to move meanwhile.
    if (range.first != id.second || range.fencing_token != token || range.ready) continue;
    range.ready = true;
    // The end of a move is recorded soon, or the next coordinator would wait for its holder again.
    if (!range.previous.empty()) plan_at_ = std::min(plan_at_, ports_.now() + kFinishInterval);
    Publish();
  }
}

}  // namespace dogwoodport::fleet
