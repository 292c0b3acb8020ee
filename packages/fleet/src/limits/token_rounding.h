#pragma once

/// @file
/// Rounding of tokens and of times to come back; private to the sources of the tokens.

#include <algorithm>
#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

inline std::uint32_t RoundDown(double n) { return static_cast<std::uint32_t>(std::max(0.0, n)); }

/// Keeps the time that a refused caller is told to wait within bounds.
inline Duration ClampRetryAfter(Duration wait) {
  constexpr Duration kMinRetryAfter{100'000};
  constexpr Duration kMaxRetryAfter{2'000'000};
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace dogwoodport::fleet
