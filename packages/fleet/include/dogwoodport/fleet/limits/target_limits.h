#pragma once

/// @file
/// Request rates that targets name in their responses.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dogwoodport/core/types.h"
#include "dogwoodport/fleet/membership/target_entry.h"

namespace dogwoodport::fleet {

/// Change of the limit of a target.
struct TargetLimitChange {
  TargetIncarnation target;
  /// Requests per second; unset if there was or is no limit.
  std::optional<double> previous;
  std::optional<double> rate;
};

/// Requests sent to a target with a limit since the last call of `TakeUsage`.
struct TargetLimitUsage {
  TargetIncarnation target;
  double rate = 0;
  std::uint32_t sent = 0;
  /// Time since the target last named the limit, as far as this instance knows.
  Duration age{0};
};

/// The limits that targets have named, by incarnation.
class TargetLimits {
 public:
  /// Applies a response to a request that was sent at `sent_at`. `rate` is the limit named in it,
  /// in requests per second. A response without a limit ends an earlier one, unless the request was
  /// sent before the limit was last named.
  void OnResponse(const TargetIncarnation& target, std::optional<double> rate, TimePoint sent_at,
                  TimePoint now);
  /// Counts a request sent to a target.
  void OnSend(const TargetIncarnation& target);

  /// Returns the current limit of a target in requests per second, if it has one.
  std::optional<double> RateOf(const TargetIncarnation& target) const;
  /// Returns the changes since the last call.
  std::vector<TargetLimitChange> TakeChanges();
  /// Returns the usage of all targets with a limit, and resets the counters.
  std::vector<TargetLimitUsage> TakeUsage(TimePoint now);

 private:
  struct Limit {
    std::optional<double> rate;
    /// Time at which the limit was last named, or at which the target certainly had none.
    TimePoint observed_at{};
    std::uint32_t sent = 0;
  };

  void Set(const TargetIncarnation& target, std::optional<double> rate, TimePoint observed_at);

  std::map<TargetIncarnation, Limit> limits_;
  std::vector<TargetLimitChange> changes_;
};

}  // namespace dogwoodport::fleet
