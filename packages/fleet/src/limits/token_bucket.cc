#include "dogwoodport/fleet/limits/token_bucket.h"

#include <cmath>

namespace dogwoodport::fleet {

void RateMeter::Decay(TimePoint now) noexcept {
  if (now <= updated_at_) return;
  if (updated_at_ != TimePoint{}) sum_ *= std::exp(-Seconds(now - updated_at_) / Seconds(window_));
  updated_at_ = now;
}

}  // namespace dogwoodport::fleet
