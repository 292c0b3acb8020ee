#pragma once

/// @file
/// Hashes that represent names in messages between instances.

#include <cstdint>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet::detail {

inline std::uint64_t HashOf(const std::string& name) { return TargetId::FromName(name).value; }

/// Returns a 32-bit hash of a target id, for the frequent load messages.
inline std::uint32_t ShortHashOf(const std::string& name) {
  return static_cast<std::uint32_t>(HashOf(name));
}

}  // namespace dogwoodport::fleet::detail
