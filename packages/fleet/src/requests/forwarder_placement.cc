// Target selection: the owner of a key, or the best target of a service.

#include <algorithm>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

Forwarder::Placement Forwarder::TrySend(Request& request) {
  const Target* target = nullptr;
  Placement placement = Place(request, target);
  if (placement == Placement::kFound && !TakeTargetToken(*target)) placement = Placement::kLimited;
  request.limited_by.reset();
  if (placement == Placement::kFound) Send(request, *target);
  if (placement == Placement::kLimited) {
    request.limited_by = {target->entry.id, target->entry.incarnation};
  }
  return placement;
}

bool Forwarder::TakeTargetToken(const Target& target) {
  if (!view_.target_limits.any()) return true;
  // The clock is read again: after a suspension the decision must not rely on an outdated time.
  return view_.target_limits.Take({target.entry.id, target.entry.incarnation}, loop_.Refresh());
}

Forwarder::Placement Forwarder::Place(const Request& request, const Target*& target) {
  return request.service->keyed ? PlaceAtOwner(request, target) : PlaceAtAny(request, target);
}

Forwarder::Placement Forwarder::PlaceAtOwner(const Request& request, const Target*& target) {
  const KeyRange* const range = view_.keys.Find(request.service->name, *request.caller.key);
  if (range == nullptr || !range->ready) return Placement::kNoTarget;
  if (now() < request.hold_back_until && request.denied_revision == view_.keys.revision) {
    return Placement::kNoTarget;
  }
  const Target* const owner = view_.directory.Find(range->owner);
  if (owner == nullptr || !view_.Usable(*owner, now())) return Placement::kNoTarget;
  if (view_.IsCold(*owner, now()) && !view_.cold_limiter.Available(range->owner, now())) {
    return Placement::kNoCapacity;
  }
  const TargetHealth& health = view_.health[range->owner];
  if (health.Load(now()) + 1 > owner->entry.slots + settings_.owner_overcommit ||
      !HasConnectionCapacity(*owner, *request.service)) {
    return Placement::kNoCapacity;
  }
  target = owner;
  const bool has_room =
      !view_.target_limits.any() ||
      view_.target_limits.MaySend({owner->entry.id, owner->entry.incarnation}, now());
  return has_room ? Placement::kFound : Placement::kLimited;
}

void Forwarder::PartitionTargets(const std::string& service, ServiceState& state) const {
  const bool current = state.directory_version == view_.directory.version() &&
                       state.withdrawn_data_centres == view_.withdrawn_data_centres;
  if (current) return;
  state.directory_version = view_.directory.version();
  state.withdrawn_data_centres = view_.withdrawn_data_centres;
  state.preferred.clear();
  state.fallback.clear();
  std::vector<const Target*> targets;
  std::vector<SubsetCandidate> candidates;
  for (const auto& [id, target] : view_.directory.OfService(service)) {
    const TargetEntry& entry = target->entry;
    const bool is_withdrawn = view_.withdrawn_data_centres.count(entry.data_centre) > 0;
    if (entry.phase != TargetPhase::kReady || is_withdrawn) continue;
    targets.push_back(target);
    candidates.push_back({id, entry.data_centre == view_.data_centre});
  }
  const auto chosen = ChooseSubset(candidates, view_.instance, settings_.subset);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const bool is_preferred = std::binary_search(chosen.begin(), chosen.end(), i);
    (is_preferred ? state.preferred : state.fallback).push_back(targets[i]);
  }
}

Forwarder::Placement Forwarder::PlaceAtAny(const Request& request, const Target*& target) {
  ServiceState& state = services_[request.service->name];
  PartitionTargets(request.service->name, state);
  const Placement placement = PlaceAmong(request, state.preferred, target);
  if (placement == Placement::kFound || state.fallback.empty()) return placement;
  const Placement fallback_placement = PlaceAmong(request, state.fallback, target);
  return fallback_placement == Placement::kNoTarget ? placement : fallback_placement;
}

Forwarder::Placement Forwarder::PlaceAmong(const Request& request,
                                           const std::vector<const Target*>& targets,
                                           const Target*& target) {
  std::vector<Candidate> candidates;
  std::vector<const Target*> usable;
  bool any_usable = false;
  for (const Target* const it : targets) {
    if (!view_.Usable(*it, now())) continue;
    if (request.Tried(it->entry.id)) continue;
    any_usable = true;
    if (view_.IsCold(*it, now()) && !view_.cold_limiter.Available(it->entry.id, now())) continue;
    if (!HasConnectionCapacity(*it, *request.service)) continue;
    if (view_.target_limits.any() &&
        !view_.target_limits.MaySend({it->entry.id, it->entry.incarnation}, now())) {
      continue;
    }
    candidates.push_back(MakeCandidate(*it));
    usable.push_back(it);
  }
  const Duration typical = TypicalLatency(request.service->name);
  const auto best_index = SelectTarget(
      candidates, typical > Duration{0} ? typical : kDefaultLatency, settings_.selector, random_());
  if (!best_index) return any_usable ? Placement::kNoCapacity : Placement::kNoTarget;
  target = usable[*best_index];
  return Placement::kFound;
}

Candidate Forwarder::MakeCandidate(const Target& target) {
  const TargetHealth& health = view_.health[target.entry.id];
  Candidate result;
  result.load = health.Load(now());
  result.slots = target.entry.slots;
  const Duration typical =
      health.latency() > Duration{0} ? health.latency() : TypicalLatency(target.entry.service);
  result.latency = FromSeconds(Seconds(typical) * health.Slowdown(now()));
  result.failure_share = health.failure_share();
  result.shed_share = health.shed_share();
  result.same_data_centre = target.entry.data_centre == view_.data_centre;
  result.has_idle_connection = pool_.IdleCount(target.entry.address) > 0;
  return result;
}

std::size_t Forwarder::MaxConnections(const Service& service) const {
  if (service.max_connections == 0) return net::ConnectionPool::kUnlimited;
  const double share = service.max_connections * settings_.connection_share /
                       static_cast<double>(std::max<std::size_t>(1, view_.instance_count));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool Forwarder::HasConnectionCapacity(const Target& target, const Service& service) const {
  return pool_.IdleCount(target.entry.address) > 0 ||
         pool_.Count(target.entry.address) < MaxConnections(service);
}

}  // namespace dogwoodport::fleet
