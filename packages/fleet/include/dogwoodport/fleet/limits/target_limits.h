#pragma once

/// @file
/// Enforces the request rates that targets name in their responses, over all instances together.
///
/// Instances tell each other the limits that they know. An instance that knows the limit of a
/// target sends it a request only with a token of the target's budget. The tokens are lent like
/// those of client accounts, see account_tokens.h, so the bound holds whatever is delayed, lost or
/// restarted: an instance that gets no token sends nothing.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "dogwoodport/fleet/membership/target_directory.h"

namespace dogwoodport::fleet {

/// A limit as reported to other instances.
struct TargetLimitReport {
  TargetIncarnation target;
  /// Whether the target has a limit, and the limit in requests per second.
  bool limited = false;
  double rate = 0;
  /// Time since the target named the limit, or since it certainly had none.
  std::uint32_t age_ms = 0;

  MSGPACK_DEFINE_ARRAY(target, limited, rate, age_ms)
};

/// Change of the limit of a target.
struct TargetLimitChange {
  TargetIncarnation target;
  /// Requests per second; unset if there was or is no limit.
  std::optional<double> previous;
  std::optional<double> rate;
  /// Whether this instance learned of the change from a response of the target itself.
  bool is_first_hand = false;
};

/// State of a target with a limit, and the number of requests since the last call of `TakeUsage`.
struct TargetLimitUsage {
  TargetIncarnation target;
  double rate = 0;
  std::uint32_t sent = 0;
  /// Decisions in which the target was left out for lack of a token.
  std::uint32_t held_back = 0;
  /// Requests that wait for a token.
  std::uint32_t queued = 0;
  /// Tokens that this instance can use or lend.
  std::uint32_t free = 0;
  /// Time since the target last named the limit, as far as this instance knows.
  Duration age{0};
};

/// The limits that targets have named, by incarnation. Complexity of all calls that take one
/// target: logarithmic in the number of targets that have named a limit.
class TargetLimits {
 public:
  /// Excess over the limit that all instances together may use. Operators allow 1.5 times the limit
  /// and 5 requests in 4 s. The rest is reserved for requests that arrive closer together than they
  /// were sent.
  static constexpr RateTolerance kTolerance{Duration{4'000'000}, 0.3, 4};

  explicit TargetLimits(AccountTokens& tokens) : tokens_(tokens) {}

  /// Applies a response to a request that was sent at `sent_at`. `rate` is the limit named in it,
  /// in requests per second. A response without a limit ends an earlier one, unless the request was
  /// sent before the limit was last named.
  void OnResponse(const TargetIncarnation& target, std::optional<double> rate, TimePoint sent_at,
                  TimePoint now);
  /// Applies the limits that another instance has reported.
  void OnReport(const std::vector<TargetLimitReport>& reports, TimePoint now);
  /// Returns limits for a report to other instances: those that changed recently, and some of the
  /// others in turn.
  std::vector<TargetLimitReport> MakeReport(TimePoint now);
  /// Removes the limits of targets that have restarted or gone.
  void Retain(const TargetDirectory& directory, TimePoint now);

  /// Whether any target has a limit.
  bool any() const noexcept { return limited_ > 0; }
  /// Returns the current limit of a target in requests per second, if it has one.
  std::optional<double> RateOf(const TargetIncarnation& target) const;

  /// Whether a request may be sent to the target now. If not, a token is requested.
  bool MaySend(const TargetIncarnation& target, TimePoint now);
  /// Uses a token for a request that is being sent, if the target has a limit. Returns false if
  /// there is no token; the request must not be sent then.
  bool Take(const TargetIncarnation& target, TimePoint now);
  /// Sets the number of requests that wait for a token, by target; 0 for all others.
  void SetQueued(const std::map<TargetIncarnation, std::uint32_t>& queued, TimePoint now);
  /// Requests tokens for the queued requests and for those recently sent elsewhere.
  void Tick(TimePoint now);

  /// Returns the minimum time until a request gets a token behind `ahead` others of this instance.
  Duration ExpectedWait(const TargetIncarnation& target, std::size_t ahead, TimePoint now) const;
  /// Returns the time after which a refused caller should retry: the next return that this
  /// instance's part of the limit has room for. It is reserved for the caller unless it is after
  /// `latest`, when the caller no longer needs it.
  Duration ReserveReturn(const TargetIncarnation& target, std::size_t ahead, TimePoint latest,
                         TimePoint now);
  /// Sets the number of instances, which is the assumed divisor of the limit where an instance has
  /// sent nothing yet.
  void SetInstances(std::size_t n) noexcept { instances_ = std::max<std::size_t>(1, n); }

  /// Returns the changes since the last call.
  std::vector<TargetLimitChange> TakeChanges();
  /// Returns the usage of all targets with a limit, and resets the counters.
  std::vector<TargetLimitUsage> TakeUsage(TimePoint now);
  /// Number of targets with a limit, and of decisions since the start in which one was left out for
  /// lack of a token.
  std::size_t limited() const noexcept { return limited_; }
  std::uint64_t held_back() const noexcept { return held_back_; }

 private:
  struct Limit {
    std::optional<double> rate;
    /// Time at which the limit was last named, or at which the target certainly had none.
    TimePoint observed_at{};
    TimePoint changed_at{};
    /// Name of the token budget.
    std::string budget;
    std::uint32_t queued = 0;
    /// Time until which a token is requested although no request waits.
    TimePoint wanted_until{};
    /// Return reserved last for a refused caller.
    TimePoint last_return{};
    RateMeter sends{Duration{2'000'000}};
    std::uint32_t sent = 0;
    std::uint32_t held_back = 0;
  };

  Limit* FindLimited(const TargetIncarnation& target);
  const Limit* FindLimited(const TargetIncarnation& target) const;
  void Set(const TargetIncarnation& target, std::optional<double> rate, TimePoint observed_at,
           bool is_first_hand, TimePoint now);
  void RequestToken(Limit& limit, TimePoint now);

  AccountTokens& tokens_;
  std::map<TargetIncarnation, Limit> limits_;
  std::size_t limited_ = 0;
  std::size_t instances_ = 1;
  /// Limit that was last reported in turn.
  TargetIncarnation last_reported_;
  std::vector<TargetLimitChange> changes_;
  std::uint64_t held_back_ = 0;
};

}  // namespace dogwoodport::fleet
