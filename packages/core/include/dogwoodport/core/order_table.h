#pragma once

/// @file
/// Bounded table of order records with expiry, held by the authority and by the permit group.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "dogwoodport/core/order_messages.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// How long intents and outcomes are kept, counted from the first attempt.
inline constexpr Duration kOrderWindow{600'000'000};

/// Longest answer that is kept for a caller who retries; of a longer one only the status is kept.
inline constexpr std::size_t kMaxStoredAnswer = 4'096;

/// Memory of one record without its answer, including the nodes of the containers.
inline constexpr std::size_t kOrderRecordBytes = 224;

/// Returns the identifier of the order that `account` sent with `idempotency_key`. Complexity:
/// linear in the length of the key.
OrderId MakeOrderId(AccountId account, std::string_view idempotency_key) noexcept;

/// Returns the hash of a request's content. Complexity: linear in the length.
BodyHash MakeBodyHash(std::string_view method, std::string_view path,
                      std::string_view body) noexcept;

/// Records by order. Merging is idempotent and commutative, so repeated and reordered messages do
/// no harm.
///
/// @code
/// OrderTable table(kOrderWindow, 8 << 20);
/// if (!table.Apply(now, record)) RefuseForMemory();
/// @endcode
class OrderTable {
 public:
  /// Keeps records for `window` within `max_bytes` of memory.
  OrderTable(Duration window, std::size_t max_bytes) : window_(window), max_bytes_(max_bytes) {}

  /// Merges a record: the later attempt holds, then the later state. Returns false if a new record
  /// does not fit. Records are never evicted before the window has passed, since that would allow
  /// a second run. Complexity: logarithmic.
  bool Apply(TimePoint now, const OrderRecord& record);

  /// Returns the record of `id` unless its window has passed. Complexity: logarithmic.
  std::optional<OrderRecord> Find(TimePoint now, const OrderId& id) const;

  /// Calls `visit(record)` for each live record after `after` in order until it returns false.
  template <typename Visit>
  void ForEachAfter(TimePoint now, const OrderId& after, Visit visit) const {
    for (auto it = entries_.upper_bound(after); it != entries_.end(); ++it) {
      if (Expired(now, it->second)) continue;
      if (!visit(ToRecord(now, it->second))) return;
    }
  }

  /// Removes expired records, a bounded number in each call.
  void Tick(TimePoint now);

  /// Whether another intent fits.
  bool HasRoom() const noexcept { return bytes_ + kOrderRecordBytes <= max_bytes_; }
  std::size_t size() const noexcept { return entries_.size(); }
  std::size_t bytes() const noexcept { return bytes_; }

 private:
  struct Entry {
    OrderRecord record;
    TimePoint first_attempt;
  };

  bool Expired(TimePoint now, const Entry& entry) const {
    return now - entry.first_attempt >= window_;
  }
  static OrderRecord ToRecord(TimePoint now, const Entry& entry);
  void StoreAnswer(Entry& entry, const OrderRecord& record);

  Duration window_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<OrderId, Entry> entries_;
  OrderId sweep_after_;
};

}  // namespace dogwoodport
