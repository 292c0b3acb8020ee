#pragma once

/// @file
/// Bounded table of order records with expiry, used by the authority and by the permit group.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "dogwoodport/core/order_messages.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Time for which intents and outcomes are stored, counted from the first attempt.
inline constexpr Duration kOrderWindow{600'000'000};

/// Maximum size in bytes of a response that is stored for retries. Of a larger response only the
/// status is stored.
inline constexpr std::size_t kMaxStoredAnswer = 4'096;

/// Memory of one record without its response, including the nodes of the containers.
inline constexpr std::size_t kOrderRecordBytes = 224;

/// Returns the identifier of the order that `account` sends with `idempotency_key`. Complexity:
/// linear in the length of the key.
OrderId MakeOrderId(AccountId account, std::string_view idempotency_key) noexcept;

/// Returns the hash of a request's content. Complexity: linear in the length.
BodyHash MakeBodyHash(std::string_view method, std::string_view path,
                      std::string_view body) noexcept;

/// Stores records by order. Merging is idempotent and commutative, so duplicated and reordered
/// messages have no effect on the result.
///
/// @code
/// OrderTable table(kOrderWindow, 8 << 20);
/// if (!table.Apply(now, record)) RefuseForMemory();
/// @endcode
class OrderTable {
 public:
  /// Stores records for `window` in at most `max_bytes` of memory.
  OrderTable(Duration window, std::size_t max_bytes) : window_(window), max_bytes_(max_bytes) {}

  /// Merges a record. A later attempt takes precedence, and within an attempt a later state.
  /// Returns false if a new record does not fit. Records are not evicted before the window has
  /// passed, since an evicted order could run twice. Complexity: logarithmic.
  bool Apply(TimePoint now, const OrderRecord& record);

  /// Returns the record of `id`, unless its window has passed. Complexity: logarithmic.
  std::optional<OrderRecord> Find(TimePoint now, const OrderId& id) const;

  /// Calls `visit(record)` in order for each unexpired record after `after`, until it returns
  /// false.
  template <typename Visit>
  void ForEachAfter(TimePoint now, const OrderId& after, Visit visit) const {
    for (auto it = entries_.upper_bound(after); it != entries_.end(); ++it) {
      if (Expired(now, it->second)) continue;
      if (!visit(ToRecord(now, it->second))) return;
    }
  }

  /// Removes expired records. Each call examines a bounded number of records.
  void Tick(TimePoint now);

  /// Whether there is memory for another intent.
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
  OrderId last_swept_;
};

}  // namespace dogwoodport
