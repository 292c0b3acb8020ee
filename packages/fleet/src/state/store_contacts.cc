#include "dogwoodport/fleet/state/store_contacts.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Contacts closer together than this are kept as one.
constexpr Duration kResolution{20'000};

}  // namespace

void StoreContacts::Add(TimePoint at) {
  const auto next = contacts_.lower_bound(at - kResolution);
  if (next != contacts_.end() && *next <= at + kResolution) return;
  contacts_.insert(at);
  // An outage that ended before is of no interest, but the contact that ended it is.
  const TimePoint needed_since = *contacts_.rbegin() - restore_time_ - min_outage_;
  const auto first_needed = contacts_.lower_bound(needed_since);
  if (first_needed != contacts_.begin()) {
    contacts_.erase(contacts_.begin(), std::prev(first_needed));
  }
}

bool StoreContacts::EntriesMayBeMissing(TimePoint now) const {
  TimePoint later = now;
  for (auto it = contacts_.rbegin(); it != contacts_.rend(); ++it) {
    if (later - *it >= min_outage_) return true;
    later = *it;
    if (now - later >= restore_time_) return false;
  }
  return true;
}

}  // namespace dogwoodport::fleet
