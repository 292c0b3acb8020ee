#include "dogwoodport/fleet/routing/target_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {
namespace {

/// Weight of the newest sample in the moving averages.
constexpr double kLatencyWeight = 0.1;
constexpr double kFailureWeight = 0.15;
/// Consecutive failures after which a target is ejected.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kMinEjection{500'000};
constexpr Duration kMaxEjection{4'000'000};
/// Half-life of the weight of a load report.
constexpr Duration kReportHalfLife{150'000};
/// Half-life of the weight of a reported slowdown.
constexpr Duration kSlowdownHalfLife{250'000};
/// Limits of a reported slowdown. Values outside are considered errors of the report and clamped.
constexpr double kMinSlowdown = 0.25;
constexpr double kMaxSlowdown = 20.0;

bool IsFailure(SendResult result) noexcept {
  return result == SendResult::kServerError || result == SendResult::kNotConnected ||
         result == SendResult::kBroken || result == SendResult::kTimedOut;
}

}  // namespace

void TargetHealth::OnResult(SendResult result, Duration latency, TimePoint now) {
  if (in_flight_ > 0) --in_flight_;
  if (result == SendResult::kCancelled) return;
  const bool failed = IsFailure(result);
  failure_share_ += kFailureWeight * ((failed ? 1.0 : 0.0) - failure_share_);
  shed_share_ += kFailureWeight * ((result == SendResult::kShed ? 1.0 : 0.0) - shed_share_);
  if (result == SendResult::kServed) {
    consecutive_failures_ = 0;
    ejections_ = 0;
    if (std::exchange(unreachable_, false)) recovered_at_ = now;
    const Duration normalized = FromSeconds(Seconds(latency) / Slowdown(now));
    latency_ = latency_ == Duration{0}
                   ? normalized
                   : latency_ + FromSeconds(kLatencyWeight * Seconds(normalized - latency_));
  }
  if (!failed) return;
  ++consecutive_failures_;
  if (result == SendResult::kNotConnected) unreachable_ = true;
  if (consecutive_failures_ >= kFailuresToEject || unreachable_) Eject(now);
}

void TargetHealth::Eject(TimePoint now) {
  if (now < ejected_until_) return;
  const Duration span = std::min(kMaxEjection, kMinEjection * (1 << std::min(ejections_, 4U)));
  ++ejections_;
  ejected_until_ = now + span;
}

void TargetHealth::OnLoadReport(const LoadReport& report, TimePoint now) {
  report_ = report;
  reported_at_ = now;
}

double TargetHealth::Slowdown(TimePoint now) const noexcept {
  if (reported_at_ == TimePoint{}) return 1;
  const double weight = std::exp2(-Seconds(now - reported_at_) / Seconds(kSlowdownHalfLife));
  const double reported = std::clamp(report_.slowdown, kMinSlowdown, kMaxSlowdown);
  return 1 + weight * (reported - 1);
}

void TargetHealth::OnRestart() noexcept {
  consecutive_failures_ = 0;
  ejections_ = 0;
  unreachable_ = false;
  recovered_at_ = TimePoint{};
  failure_share_ = 0;
  shed_share_ = 0;
  ejected_until_ = TimePoint{};
  back_off_until_ = TimePoint{};
  report_ = LoadReport{};
  reported_at_ = TimePoint{};
}

double TargetHealth::Load(TimePoint now) const noexcept {
  const double counted = in_flight_ + others_in_flight_;
  if (reported_at_ == TimePoint{}) return counted;
  const double weight = std::exp2(-Seconds(now - reported_at_) / Seconds(kReportHalfLife));
  const double reported = report_.running + report_.waiting;
  return std::max<double>(in_flight_, counted + weight * std::max(0.0, reported - counted));
}

}  // namespace dogwoodport::fleet
