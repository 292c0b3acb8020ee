#include "dogwoodport/core/spill_over.h"

#include <algorithm>
#include <cmath>

namespace dogwoodport {
namespace {

// Cost of a full data centre compared with an idle one: about one service time. A near data centre
// is passed over for a distant one only if it is clearly more loaded.
constexpr double kFullCostUs = 10'000;

}  // namespace

void SentRequests::Advance(TimePoint now) noexcept {
  const auto elapsed = static_cast<double>((now - at).count());
  running *= std::exp(-elapsed / std::max(service_us, 1.0));
  at = now;
}

DataCentreRow& DataCentreTable::Get(DataCentreId id) {
  const auto it = std::find_if(rows_.begin(), rows_.end(),
                               [&](const DataCentreRow& row) { return row.id == id; });
  if (it != rows_.end()) return *it;
  rows_.push_back(DataCentreRow{.id = id});
  return rows_.back();
}

const DataCentreRow* DataCentreTable::Find(DataCentreId id) const noexcept {
  const auto it = std::find_if(rows_.begin(), rows_.end(),
                               [&](const DataCentreRow& row) { return row.id == id; });
  return it == rows_.end() ? nullptr : &*it;
}

void DataCentreTable::OnLoad(TimePoint now, const DataCentreLoad& load) {
  DataCentreRow& row = Get(load.data_centre);
  row.services = load.services;
  row.sent.resize(load.services.size());
  for (SentRequests& sent : row.sent) {
    sent.Advance(now);
    sent.reported = sent.running;
  }
  row.reported = now;
  if (load.round_trip_us > 0) row.round_trip_us = load.round_trip_us;
}

std::optional<DataCentreId> DataCentreTable::Choose(TimePoint now, ServiceId service,
                                                    DataCentreId own, double service_us) {
  DataCentreRow* best = nullptr;
  std::size_t best_service = 0;
  double best_cost = 0;
  // Assumes that the other instances of this data centre send as many requests as this one.
  const double peers = static_cast<double>(std::max<std::size_t>(1, Get(own).members.size()));
  for (DataCentreRow& row : rows_) {
    if (row.id == own || !row.in_service || row.services.empty()) continue;
    if (now > row.reported + kMaxReportAge) continue;
    for (std::size_t i = 0; i < row.services.size(); ++i) {
      const ServiceLoad& load = row.services[i];
      if (load.service != service || load.usable_slots == 0) continue;
      SentRequests& sent = row.sent[i];
      sent.service_us = service_us;
      sent.Advance(now);
      const double added = (sent.running - sent.reported) * peers;
      const double used = (load.in_flight + added) / load.usable_slots;
      if (used > 1.0 - kReserve) continue;
      const double cost = static_cast<double>(row.round_trip_us) + used * kFullCostUs;
      if (best != nullptr && cost >= best_cost) continue;
      best = &row;
      best_service = i;
      best_cost = cost;
    }
  }
  if (best == nullptr) return std::nullopt;
  best->sent[best_service].running += 1;
  return best->id;
}

std::uint32_t DataCentreTable::EjectedElsewhere(TimePoint now, ServiceId service,
                                                DataCentreId own) const {
  std::uint32_t n = 0;
  for (const DataCentreRow& row : rows_) {
    if (row.id == own || now > row.reported + kMaxReportAge) continue;
    for (const ServiceLoad& load : row.services) n += load.service == service ? load.ejected : 0;
  }
  return n;
}

}  // namespace dogwoodport
