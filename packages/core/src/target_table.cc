#include "dogwoodport/core/target_table.h"

#include <utility>

namespace dogwoodport {
namespace {

constexpr std::uint64_t kIndexBits = 24;
constexpr std::uint64_t kIndexMask = (1ULL << kIndexBits) - 1;

}  // namespace

void TargetTable::Apply(const Config& config, DataCentreId data_centre) {
  for (ServiceRow& service : services_) {
    service.targets.clear();
    service.fleet_targets = 0;
  }
  for (TargetRow& row : rows_) row.configured = false;
  for (const ServiceConfig& service : config.services) {
    const auto [it, added] = service_index_.try_emplace(service.id, services_.size());
    if (added) services_.push_back(ServiceRow{.id = service.id, .index = services_.size()});
    services_[it->second].keyed = service.keyed;
  }
  for (const TargetConfig& target : config.targets) {
    ServiceRow* service = FindService(target.service);
    if (service == nullptr) continue;
    ++service->fleet_targets;
    if (target.data_centre != data_centre) continue;
    const auto [it, added] = index_.try_emplace(target.id, rows_.size());
    if (added) rows_.emplace_back();
    TargetRow& row = rows_[it->second];
    row.config = target;
    row.configured = true;
    row.service = service_index_.at(target.service);
    service->targets.push_back(it->second);
  }
}

TargetRow* TargetTable::Find(TargetId id) {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &rows_[it->second];
}

std::optional<std::size_t> TargetTable::IndexOf(TargetId id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? std::nullopt : std::optional(it->second);
}

ServiceRow* TargetTable::FindService(ServiceId id) {
  const auto it = service_index_.find(id);
  return it == service_index_.end() ? nullptr : &services_[it->second];
}

Attempt& AttemptTable::Add() {
  std::uint32_t index = 0;
  if (free_.empty()) {
    index = static_cast<std::uint32_t>(rows_.size());
    rows_.emplace_back();
    free_.reserve(rows_.size());
  } else {
    index = free_.back();
    free_.pop_back();
  }
  Attempt& attempt = rows_[index];
  attempt.id = AttemptId{(generation_++ << kIndexBits) | index};
  attempt.rival = AttemptId{};
  attempt.is_hedge = false;
  return attempt;
}

const Attempt* AttemptTable::Find(AttemptId id) const noexcept {
  const std::uint64_t index = id.value & kIndexMask;
  if (id.value == 0 || index >= rows_.size() || rows_[index].id != id) return nullptr;
  return &rows_[index];
}

Attempt* AttemptTable::Find(AttemptId id) noexcept {
  return const_cast<Attempt*>(std::as_const(*this).Find(id));
}

void AttemptTable::Remove(Attempt& attempt) {
  free_.push_back(static_cast<std::uint32_t>(attempt.id.value & kIndexMask));
  attempt.id = AttemptId{};
}

}  // namespace dogwoodport
