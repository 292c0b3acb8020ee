#include "dogwoodport/core/order_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>

namespace dogwoodport {
namespace {

// Limits the work of one tick. At 10 ticks per second, all records of a full table are examined in
// less than a minute.
constexpr int kSweepPerTick = 128;

}  // namespace

OrderId MakeOrderId(AccountId account, std::string_view idempotency_key) noexcept {
  const XXH128_hash_t hash = XXH3_128bits(idempotency_key.data(), idempotency_key.size());
  return OrderId{account, hash.high64, hash.low64};
}

BodyHash MakeBodyHash(std::string_view method, std::string_view path,
                      std::string_view body) noexcept {
  // Hashing the hashes of the parts distinguishes ("ab", "c") from ("a", "bc").
  std::array<XXH128_hash_t, 3> parts{};
  std::size_t n = 0;
  for (const std::string_view part : {method, path, body}) {
    parts[n++] = XXH3_128bits(part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits(parts.data(), sizeof parts);
  return BodyHash{hash.high64, hash.low64};
}

OrderRecord OrderTable::ToRecord(TimePoint now, const Entry& entry) {
  OrderRecord record = entry.record;
  record.age_ms = static_cast<std::uint32_t>((now - entry.first_attempt).count() / 1'000);
  return record;
}

void OrderTable::StoreAnswer(Entry& entry, const OrderRecord& record) {
  bytes_ -= entry.record.answer.size();
  entry.record.answer.clear();
  entry.record.answer_kept = false;
  // A response is stored only if at most half of the memory is then in use, so that space remains
  // for intents.
  const std::size_t size = record.answer.size();
  if (!record.answer_kept || size > kMaxStoredAnswer || bytes_ + size > max_bytes_ / 2) return;
  entry.record.answer = record.answer;
  entry.record.answer_kept = true;
  bytes_ += size;
}

bool OrderTable::Apply(TimePoint now, const OrderRecord& record) {
  auto it = entries_.find(record.id);
  const TimePoint first_attempt = now - Duration(std::int64_t{record.age_ms} * 1'000);
  if (it != entries_.end() && Expired(now, it->second)) {
    bytes_ -= kOrderRecordBytes + it->second.record.answer.size();
    entries_.erase(it);
    it = entries_.end();
  }
  if (it == entries_.end()) {
    if (!HasRoom()) return false;
    it = entries_.emplace(record.id, Entry{record, first_attempt}).first;
    it->second.record.answer.clear();
    bytes_ += kOrderRecordBytes;
    StoreAnswer(it->second, record);
    return true;
  }
  Entry& entry = it->second;
  const bool newer = record.attempt > entry.record.attempt;
  const bool later = record.attempt == entry.record.attempt && record.state > entry.record.state;
  if (!newer && !later) return true;
  std::string answer = std::move(entry.record.answer);
  entry.record = record;
  entry.record.answer = std::move(answer);
  // A new attempt after `kNotRun` starts a new window.
  if (newer) entry.first_attempt = first_attempt;
  StoreAnswer(entry, record);
  return true;
}

std::optional<OrderRecord> OrderTable::Find(TimePoint now, const OrderId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || Expired(now, it->second)) return std::nullopt;
  return ToRecord(now, it->second);
}

void OrderTable::Tick(TimePoint now) {
  auto it = entries_.upper_bound(last_swept_);
  for (int n = 0; n < kSweepPerTick && it != entries_.end(); ++n) {
    last_swept_ = it->first;
    if (Expired(now, it->second)) {
      bytes_ -= kOrderRecordBytes + it->second.record.answer.size();
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  if (it == entries_.end()) last_swept_ = OrderId{};
}

}  // namespace dogwoodport
