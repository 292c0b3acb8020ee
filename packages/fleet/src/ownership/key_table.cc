#include "dogwoodport/fleet/ownership/key_table.h"

#include <algorithm>

#include "dogwoodport/fleet/detail/packing.h"

namespace dogwoodport::fleet {

namespace {

using detail::Pack;
using detail::Unpack;

bool Overlaps(const KeyRange& a, const KeyRange& b) noexcept {
  return a.first <= b.last && b.first <= a.last;
}

/// Replaces the ranges that overlap the updated ones.
void Replace(KeyRanges& ranges, const KeyRanges& updated) {
  KeyRanges result = updated;
  for (const KeyRange& it : ranges) {
    const bool replaced = std::any_of(updated.begin(), updated.end(),
                                      [&it](const KeyRange& other) { return Overlaps(it, other); });
    if (!replaced) result.push_back(it);
  }
  std::sort(result.begin(), result.end(),
            [](const KeyRange& a, const KeyRange& b) { return a.first < b.first; });
  ranges = std::move(result);
}

}  // namespace

const KeyRange* KeyTable::Find(const std::string& service, std::uint16_t key) const {
  const auto found = services.find(service);
  if (found == services.end()) return nullptr;
  const KeyRanges& ranges = found->second;
  const auto it = std::lower_bound(
      ranges.begin(), ranges.end(), key,
      [](const KeyRange& range, std::uint16_t value) { return range.last < value; });
  return it == ranges.end() || it->first > key ? nullptr : &*it;
}

void ResolveTokens(KeyTable& table, std::uint64_t offset) {
  if (table.generation == 0) table.generation = offset;
  for (auto& [service, ranges] : table.services) {
    for (KeyRange& it : ranges) {
      if (it.fencing_token == 0) it.fencing_token = offset;
    }
  }
}

std::optional<KeyTableChange> Difference(const KeyTable& before, const KeyTable& after) {
  if (before.generation != after.generation || before.services.size() != after.services.size()) {
    return std::nullopt;
  }
  KeyTableChange change{after.generation, before.revision, after.revision, after.serial, {}};
  for (const auto& [service, ranges] : after.services) {
    const auto old = before.services.find(service);
    if (old == before.services.end() || old->second.empty()) return std::nullopt;
    KeyRanges updated;
    for (const KeyRange& it : ranges) {
      const auto same =
          std::lower_bound(old->second.begin(), old->second.end(), it,
                           [](const KeyRange& a, const KeyRange& b) { return a.first < b.first; });
      if (same == old->second.end() || !(*same == it)) updated.push_back(it);
    }
    if (!updated.empty()) change.services[service] = std::move(updated);
  }
  return change;
}

bool Apply(const KeyTableChange& change, KeyTable& table) {
  if (table.generation != change.generation || table.revision != change.from_revision) return false;
  for (const auto& [service, updated] : change.services) Replace(table.services[service], updated);
  table.revision = change.to_revision;
  table.serial = change.serial;
  return true;
}

std::string Encode(const KeyTableChange& change) { return Pack(change); }

KeyTableChange DecodeKeyTableChange(const std::string& bytes) {
  return Unpack<KeyTableChange>(bytes);
}

std::string Encode(const KeyTable& table) { return Pack(table); }

KeyTable DecodeKeyTable(const std::string& bytes) { return Unpack<KeyTable>(bytes); }

KeyTable DecodeRecordedTable(const std::string& bytes, std::uint64_t offset) {
  KeyTable table = DecodeKeyTable(bytes);
  ResolveTokens(table, offset);
  for (auto& [service, ranges] : table.services) {
    for (KeyRange& it : ranges) it.ready = it.previous.empty() && !it.owner.empty();
  }
  return table;
}

void MergeNeighbours(KeyRanges& ranges) {
  KeyRanges merged;
  for (const KeyRange& it : ranges) {
    KeyRange* const before = merged.empty() ? nullptr : &merged.back();
    const bool joins = before != nullptr && !it.owner.empty() && before->owner == it.owner &&
                       before->incarnation == it.incarnation && before->previous.empty() &&
                       it.previous.empty() && before->ready == it.ready;
    if (!joins) {
      merged.push_back(it);
      continue;
    }
    before->last = it.last;
    before->fencing_token = 0;
  }
  ranges = std::move(merged);
}

}  // namespace dogwoodport::fleet
