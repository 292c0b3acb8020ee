#include "dogwoodport/fleet/requests/fleet_view.h"

namespace dogwoodport::fleet {

bool FleetView::IsCold(const Target& target, TimePoint now) const {
  if (target.cold(now)) return true;
  const auto it = health.find(target.entry.id);
  return it != health.end() && it->second.MayBeCold(now);
}

bool FleetView::Usable(const Target& target, TimePoint now) const {
  if (target.entry.phase != TargetPhase::kReady) return false;
  if (withdrawn_data_centres.count(target.entry.data_centre) > 0) return false;
  const auto it = health.find(target.entry.id);
  return it == health.end() || (!it->second.ejected(now) && !it->second.backs_off(now));
}

}  // namespace dogwoodport::fleet
