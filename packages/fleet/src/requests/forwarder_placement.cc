// Where the forwarder sends a request: the owner of its key, or the best target of its service.

#include <algorithm>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

Forwarder::Placement Forwarder::TrySend(Request& request) {
  const Target* target = nullptr;
  const Placement placement = Place(request, target);
  if (placement == Placement::kFound) Send(request, *target);
  return placement;
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
  if (view_.IsCold(*owner, now()) && !view_.cold.Available(range->owner, now())) {
    return Placement::kNoRoom;
  }
  const TargetHealth& health = view_.health[range->owner];
  if (health.Load(now()) + 1 > owner->entry.slots + settings_.owner_overcommit ||
      !HasConnection(*owner, *request.service)) {
    return Placement::kNoRoom;
  }
  target = owner;
  return Placement::kFound;
}

void Forwarder::DivideTargets(const std::string& service, ServiceState& state) const {
  const bool current =
      state.directory_version == view_.directory.version() && state.withdrawn == view_.withdrawn;
  if (current) return;
  state.directory_version = view_.directory.version();
  state.withdrawn = view_.withdrawn;
  state.first.clear();
  state.rest.clear();
  std::vector<const Target*> targets;
  std::vector<SubsetCandidate> candidates;
  for (const auto& [id, target] : view_.directory.OfService(service)) {
    const TargetEntry& entry = target->entry;
    const bool withdrawn = view_.withdrawn.count(entry.data_centre) > 0;
    if (entry.phase != TargetPhase::kReady || withdrawn) continue;
    targets.push_back(target);
    candidates.push_back({id, entry.data_centre == view_.data_centre});
  }
  const auto chosen = ChooseSubset(candidates, view_.instance, settings_.subset);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const bool is_first = std::binary_search(chosen.begin(), chosen.end(), i);
    (is_first ? state.first : state.rest).push_back(targets[i]);
  }
}

Forwarder::Placement Forwarder::PlaceAtAny(const Request& request, const Target*& target) {
  ServiceState& state = services_[request.service->name];
  DivideTargets(request.service->name, state);
  const Placement placement = PlaceAmong(request, state.first, target);
  if (placement == Placement::kFound || state.rest.empty()) return placement;
  const Placement elsewhere = PlaceAmong(request, state.rest, target);
  return elsewhere == Placement::kNoTarget ? placement : elsewhere;
}

Forwarder::Placement Forwarder::PlaceAmong(const Request& request,
                                           const std::vector<const Target*>& targets,
                                           const Target*& target) {
  std::vector<Candidate> candidates;
  std::vector<const Target*> usable;
  bool any = false;
  for (const Target* const it : targets) {
    if (!view_.Usable(*it, now())) continue;
    if (request.Tried(it->entry.id)) continue;
    any = true;
    if (view_.IsCold(*it, now()) && !view_.cold.Available(it->entry.id, now())) continue;
    if (!HasConnection(*it, *request.service)) continue;
    candidates.push_back(Describe(*it));
    usable.push_back(it);
  }
  const Duration usual = UsualLatency(request.service->name);
  const auto best = SelectTarget(candidates, usual > Duration{0} ? usual : kUnknownLatency,
                                 settings_.selector, random_());
  if (!best) return any ? Placement::kNoRoom : Placement::kNoTarget;
  target = usable[*best];
  return Placement::kFound;
}

Candidate Forwarder::Describe(const Target& target) {
  const TargetHealth& health = view_.health[target.entry.id];
  Candidate result;
  result.load = health.Load(now());
  result.slots = target.entry.slots;
  const Duration usual =
      health.latency() > Duration{0} ? health.latency() : UsualLatency(target.entry.service);
  result.latency = FromSeconds(Seconds(usual) * health.Slowdown(now()));
  result.failure_share = health.failure_share();
  result.shed_share = health.shed_share();
  result.same_data_centre = target.entry.data_centre == view_.data_centre;
  result.has_idle_connection = pool_.IdleCount(target.entry.address) > 0;
  return result;
}

bool Forwarder::HasConnection(const Target& target, const Service& service) const {
  if (service.max_connections == 0 || pool_.IdleCount(target.entry.address) > 0) return true;
  const double share = service.max_connections * settings_.connection_share /
                       static_cast<double>(std::max<std::size_t>(1, view_.instances));
  return pool_.Count(target.entry.address) <
         std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

}  // namespace dogwoodport::fleet
