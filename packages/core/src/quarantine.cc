#include "dogwoodport/core/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace dogwoodport {
namespace {

constexpr std::size_t kMaxSuspicions = 4'096;
constexpr Duration kResendInterval{200'000};
constexpr int kBroadcastSends = 3;  // so that a lost message does not leave an instance unprotected

}  // namespace

Fingerprint MakeFingerprint(AccountId account, RouteId route, const BodyHash& body) noexcept {
  const std::array<std::uint64_t, 4> parts{account.value, route.value, body.high, body.low};
  return Fingerprint{XXH3_64bits(parts.data(), sizeof parts)};
}

bool Quarantine::Blocked(Fingerprint fingerprint) const {
  if (active_count_ == 0) return false;
  const auto it = states_.find(fingerprint.value);
  return it != states_.end() && it->second.active;
}

void Quarantine::OnSent(Fingerprint fingerprint, TargetId target) {
  in_flight_[target].insert(fingerprint);
}

void Quarantine::OnFinished(TimePoint /*now*/, Fingerprint fingerprint, TargetId target,
                            bool answered, Outbox& out) {
  const auto flights = in_flight_.find(target);
  if (flights != in_flight_.end()) {
    const auto it = flights->second.find(fingerprint);
    if (it != flights->second.end()) flights->second.erase(it);
    if (flights->second.empty()) in_flight_.erase(flights);
  }
  if (answered && suspicions_.erase(fingerprint) > 0) {
    Broadcast(LossNotice{fingerprint.value, target, true}, out);
  }
}

bool Quarantine::OnTargetLost(TimePoint now, TargetId target, Outbox& out) {
  const auto flights = in_flight_.find(target);
  if (flights == in_flight_.end()) return false;
  const std::multiset<Fingerprint> lost = std::move(flights->second);
  in_flight_.erase(flights);
  bool explained = false;
  for (auto it = lost.begin(); it != lost.end(); it = lost.upper_bound(*it)) {
    Broadcast(LossNotice{it->value, target, false}, out);
    AddLoss(now, *it, target, out);
    explained = explained || Blocked(*it);
  }
  return explained;
}

void Quarantine::AddLoss(TimePoint now, Fingerprint fingerprint, TargetId target, Outbox& out) {
  if (!suspicions_.contains(fingerprint) && suspicions_.size() >= kMaxSuspicions) return;
  auto& losses = suspicions_[fingerprint].losses;
  std::erase_if(losses, [&](const auto& loss) { return now - loss.second > kQuarantineWindow; });
  losses[target] = now;
  if (losses.size() < kQuarantineLosses || Blocked(fingerprint)) return;
  if (active_count_ >= kMaxQuarantined) return;
  const std::uint64_t version = states_[fingerprint.value].version + 1;
  OnRecord(fingerprint, version, true);
  added_.push_back(fingerprint);
  pending_broadcasts_.push_back(
      PendingBroadcast{{fingerprint.value, version, true}, now, kBroadcastSends});
  Tick(now, out);
}

void Quarantine::OnRecord(Fingerprint fingerprint, std::uint64_t version, bool active) {
  State& state = states_[fingerprint.value];
  if (version <= state.version) return;
  if (active != state.active) active_count_ += active ? 1 : -1;
  state = State{version, active};
  if (!active) suspicions_.erase(fingerprint);
}

void Quarantine::OnMessage(TimePoint now, InstanceId /*from*/, const LossNotice& message,
                           Outbox& out) {
  const Fingerprint fingerprint{message.fingerprint};
  if (message.cleared) {
    suspicions_.erase(fingerprint);
  } else {
    AddLoss(now, fingerprint, message.target, out);
  }
}

void Quarantine::OnMessage(TimePoint /*now*/, InstanceId /*from*/, const QuarantineNotice& message,
                           Outbox& /*out*/) {
  OnRecord(Fingerprint{message.fingerprint}, message.version, message.active);
}

void Quarantine::Tick(TimePoint now, Outbox& out) {
  for (PendingBroadcast& broadcast : pending_broadcasts_) {
    if (now < broadcast.next_send) continue;
    broadcast.next_send = now + kResendInterval;
    --broadcast.sends_remaining;
    Broadcast(broadcast.notice, out);
  }
  std::erase_if(pending_broadcasts_,
                [](const PendingBroadcast& b) { return b.sends_remaining <= 0; });
  std::erase_if(suspicions_, [&](const auto& entry) {
    return std::all_of(entry.second.losses.begin(), entry.second.losses.end(),
                       [&](const auto& loss) { return now - loss.second > kQuarantineWindow; });
  });
}

std::vector<Fingerprint> Quarantine::List() const {
  std::vector<Fingerprint> list;
  for (const auto& [value, state] : states_) {
    if (state.active) list.push_back(Fingerprint{value});
  }
  std::sort(list.begin(), list.end());
  return list;
}

void Quarantine::Broadcast(const Message& message, Outbox& out) const {
  for (const InstanceId id : others_) out.Send(id, message);
}

}  // namespace dogwoodport
