#include "dogwoodport/fleet/ownership/key_table.h"

#include <algorithm>
#include <sstream>

namespace dogwoodport::fleet {

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

std::string Encode(const KeyTable& table) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, table);
  return {buf.data(), buf.size()};
}

KeyTable DecodeKeyTable(const std::string& bytes) {
  KeyTable table;
  msgpack::unpack(bytes.data(), bytes.size()).get().convert(table);
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
