#pragma once

/// @file
/// Distinguishes outages of the store from trouble that single instances have with it.

#include <set>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Times at which any instance is known to have read a feed of the store. The store counts as
/// unavailable only while nobody reached it.
class StoreContacts {
 public:
  /// Times without contact of at least `min_outage` count as outages. It is longer than instances
  /// with access to the store go without one. `restore_time` is the time after an outage in which
  /// live writers append their entries again.
  StoreContacts(Duration min_outage, Duration restore_time)
      : min_outage_(min_outage), restore_time_(restore_time) {}

  /// Adds a contact of this or another instance. Contacts may be added in any order.
  /// Complexity: logarithmic.
  void Add(TimePoint at);

  /// Whether the store has become available only recently, or may be unavailable at `now`, so that
  /// entries of live writers may be missing. The time before the first contact counts as an outage.
  /// Complexity: linear in the contacts of the restore time.
  bool EntriesMayBeMissing(TimePoint now) const;

 private:
  Duration min_outage_;
  Duration restore_time_;
  std::set<TimePoint> contacts_;
};

}  // namespace dogwoodport::fleet
