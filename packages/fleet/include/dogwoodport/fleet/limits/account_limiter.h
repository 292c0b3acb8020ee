#pragma once

/// @file
/// Keeps each client account within its rate and burst over all instances together.
///
/// Each instance admits a part of the rate in proportion to the requests that arrive at it. Parts
/// are computed by each instance from the demand that all report; instances that have gone silent
/// keep an equal part reserved, since they may be alive on the other side of a partition.

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// The part of a shared right that one instance may use.
///
/// `own` and `others` are requests per second at this and at the reachable instances; `reachable`
/// counts those others, `silent` the known ones that do not report.
double ShareOf(double own, double others, std::size_t reachable, std::size_t silent) noexcept;

class AccountLimiter {
 public:
  /// Sets the limits of one account; a rate of 0 means no limit. Returns whether they changed.
  bool Configure(const std::string& account, double rate, double burst);
  /// Forgets accounts that are not in `names`.
  void Keep(const std::vector<std::string>& names);

  /// Sets the numbers of other instances that report and of those that are silent.
  void SetInstances(std::size_t reachable, std::size_t silent) noexcept;
  /// Sets the demand for an account at all reachable other instances.
  void SetOthersDemand(const std::string& account, double per_second);

  struct Decision {
    bool admitted = true;
    /// When a token can be expected.
    Duration retry_after{0};
  };
  /// Admits or refuses one request. Complexity: constant on average.
  Decision Admit(const std::string& account, TimePoint now);

  /// Requests per second that arrived here, refused ones included, by account, for the next report
  /// to the other instances. The shares go by what was reported last.
  std::vector<std::pair<std::string, double>> Demand(TimePoint now);

 private:
  struct Entry {
    double rate = 0;
    double burst = 0;
    double others_demand = 0;
    /// Own demand as it was reported last.
    double reported_demand = 0;
    RateMeter demand{Duration{2'000'000}};
    TokenBucket bucket;
    /// Whether the bucket got its first tokens.
    bool started = false;
  };

  void Refresh(Entry& entry, TimePoint now) noexcept;
  double EvenShare() const noexcept;
  bool MayGoIntoDebt(Entry& entry, TimePoint now) const;

  std::unordered_map<std::string, Entry> entries_;
  std::size_t reachable_ = 0;
  std::size_t silent_ = 0;
};

}  // namespace dogwoodport::fleet
