#include "dogwoodport/fleet/routing/target_selector.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Cost of a failed or refused attempt, as a multiple of the expected request duration.
constexpr double kFailureCost = 4.0;
constexpr double kShedCost = 2.0;
/// Maximum random increase of a score, as a fraction.
constexpr double kJitter = 0.15;
/// Maximum cost of a nearly full target, as a multiple of the expected request duration. It avoids
/// such a target because several instances may fill it at the same time.
constexpr double kCrowdingCost = 0.5;

double Micros(Duration d) noexcept { return static_cast<double>(d.count()); }

/// Returns a pseudo-random number in [0, 1) for candidate `i`.
double Noise(std::uint64_t random, std::size_t i) noexcept {
  std::uint64_t x = random + 0x9E3779B97F4A7C15ULL * (i + 1);
  x ^= x >> 31;
  x *= 0xBF58476D1CE4E5B9ULL;
  x ^= x >> 29;
  return static_cast<double>(x >> 11) * 0x1.0p-53;
}

double Score(const Candidate& it, Duration typical_latency,
             const SelectorSettings& settings) noexcept {
  const double service = Micros(it.latency > Duration{0} ? it.latency : typical_latency);
  const double slots = std::max<std::uint32_t>(1, it.slots);
  const double waiting = std::max(0.0, it.load + 1 - slots) / slots;
  const double crowding = kCrowdingCost * std::min(1.0, it.load / slots);
  double score = service * (1 + waiting + crowding + kFailureCost * it.failure_share +
                            kShedCost * it.shed_share);
  if (!it.same_data_centre) score += Micros(settings.distance_cost);
  if (!it.has_idle_connection) score += Micros(settings.connection_cost);
  return score;
}

}  // namespace

std::optional<std::size_t> SelectTarget(const std::vector<Candidate>& candidates,
                                        Duration typical_latency, const SelectorSettings& settings,
                                        std::uint64_t random) {
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& it = candidates[i];
    if (it.load + 1 > it.slots + settings.overcommit) continue;
    const double score = Score(it, typical_latency, settings) * (1 + kJitter * Noise(random, i));
    if (!best || score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace dogwoodport::fleet
