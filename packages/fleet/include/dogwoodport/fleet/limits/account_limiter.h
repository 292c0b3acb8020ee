#pragma once

/// @file
/// Keeps each client account within its rate and burst over all instances together.
///
/// All instances tell each other what they have admitted. Each keeps account of the pool: the
/// tokens that rate and burst leave over all instances. While the pool has some, requests are
/// admitted wherever they arrive. When it runs low, each instance keeps to a part of the rate in
/// proportion to the requests that arrive at it. Instances that have gone silent keep an equal part
/// reserved, since they may be alive on the other side of a partition.

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

/// What the operators tolerate beyond the rate and burst of an account, because no instance knows
/// at once what the others admit: in any `window`, `overshoot` times what rate and burst allow in
/// it, and `slack` requests.
struct AccountTolerance {
  Duration window{5'000'000};
  double overshoot = 0;
  double slack = 0;
};

/// What an instance reports of one account.
struct AccountUse {
  std::string account;
  /// Requests per second that arrive, refused ones included.
  double demand = 0;
  /// Requests admitted since the start of the instance.
  std::uint32_t admitted = 0;
};

/// Why one account was admitted lately, for the log.
struct AccountStatus {
  std::string account;
  /// Requests admitted since the status before: while the pool was open, and by this instance's
  /// part of the rate.
  std::uint32_t by_pool = 0;
  std::uint32_t by_share = 0;
  /// This instance's part of the rate, in requests per second.
  double share = 0;
  /// Demand at the other instances, as far as it is known here.
  double others_demand = 0;
  /// Tokens left in the pool.
  double pool = 0;
};

class AccountLimiter {
 public:
  explicit AccountLimiter(AccountTolerance tolerance = {}) : tolerance_(tolerance) {}

  void SetTolerance(AccountTolerance tolerance) noexcept { tolerance_ = tolerance; }

  /// Sets the limits of one account; a rate of 0 means no limit. Returns whether they changed.
  bool Configure(const std::string& account, double rate, double burst);
  /// Forgets accounts that are not in `names`.
  void Keep(const std::vector<std::string>& names);

  /// Sets the numbers of other instances that report and of those that are silent.
  void SetInstances(std::size_t reachable, std::size_t silent) noexcept;
  /// Sets the demand for an account at all reachable other instances.
  void SetOthersDemand(const std::string& account, double per_second);
  /// Counts requests that other instances have admitted.
  void OnOthersAdmitted(const std::string& account, double n, TimePoint now);

  /// The other instances' admissions are known up to `now`. Without news for `kPoolAge` the pool
  /// counts as low.
  void SetKnown(TimePoint now) noexcept { known_at_ = now; }
  /// What the others have admitted is not known for the time before `now`: empties the pools.
  void OnUnknown(TimePoint now);

  struct Decision {
    bool admitted = true;
    /// When a token can be expected.
    Duration retry_after{0};
  };
  /// Admits or refuses one request. Complexity: constant on average.
  Decision Admit(const std::string& account, TimePoint now);

  /// The accounts in use, for the next report to the other instances.
  std::vector<AccountUse> Report(TimePoint now);

  /// What was reported last of an account.
  AccountUse Reported(const std::string& account) const;

  /// Whether so much was admitted since the last report that the pool would be overdrawn if all
  /// instances did the same; the others should hear of it before the next regular report.
  bool ReportIsUrgent() const noexcept { return report_is_urgent_; }

  /// The `n` accounts that were admitted most often since the last call.
  std::vector<AccountStatus> TakeStatus(std::size_t n);

  /// Time since the other instances' admissions were known.
  Duration KnownAge(TimePoint now) const noexcept { return now - known_at_; }

  static constexpr Duration kPoolAge{800'000};
  /// Longest time until the demand that an instance reports is part of what the others tell.
  static constexpr Duration kShareSpan{750'000};

 private:
  struct Entry {
    double rate = 0;
    double burst = 0;
    double others_demand = 0;
    AccountUse reported;
    /// Lowest demand reported in the present span of `kShareSpan`, and in the one before.
    double low_demand = 0;
    double low_demand_before = 0;
    TimePoint low_since{};
    std::uint32_t admitted = 0;
    std::uint32_t by_pool = 0;
    std::uint32_t by_share = 0;
    RateMeter demand{Duration{2'000'000}};
    /// This instance's part of the rate.
    TokenBucket bucket;
    double pool = 0;
    TimePoint pool_at{};
  };

  /// Known instances, this one included.
  double Instances() const noexcept;
  bool IsLargeFleet() const noexcept;
  void Refresh(Entry& entry, TimePoint now) noexcept;
  /// Rate that all instances together aim at: that of the account and a part of the tolerance, so
  /// that errors of the shares refuse nobody who is within the rate.
  double TargetRate(const Entry& entry) const noexcept;
  /// Requests beyond rate and burst that the operators tolerate in a window.
  double Tolerated(const Entry& entry) const noexcept;
  /// Requests that may be admitted before the others hear of them.
  double MostUnreported(const Entry& entry) const noexcept;
  /// Whether the pool has so much that the shares are of no consequence.
  bool IsOpen(const Entry& entry, TimePoint now) const;

  AccountTolerance tolerance_;
  std::unordered_map<std::string, Entry> entries_;
  std::size_t reachable_ = 0;
  std::size_t silent_ = 0;
  TimePoint known_at_{};
  bool report_is_urgent_ = false;
};

}  // namespace dogwoodport::fleet
