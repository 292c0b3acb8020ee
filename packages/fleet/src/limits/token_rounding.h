#pragma once

/// @file
/// Rounding of token counts and limits of retry times. Private to the sources of token lending.

#include <algorithm>
#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

inline std::uint32_t RoundDown(double n) { return static_cast<std::uint32_t>(std::max(0.0, n)); }

/// Clamps the retry time that is returned to a refused caller.
inline Duration ClampRetryAfter(Duration wait) {
  constexpr Duration kMinRetryAfter{100'000};
  constexpr Duration kMaxRetryAfter{2'000'000};
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace dogwoodport::fleet
