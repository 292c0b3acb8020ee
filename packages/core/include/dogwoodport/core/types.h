#pragma once

/// @file
/// Types that all packages share: time, typed identifiers and epochs.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace dogwoodport {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of one process. It has no `now()`: code that depends on the time receives it as
/// an argument.
struct ProcessClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ProcessClock, Duration>;
};

/// Point in time on the monotonic clock of one process. Not comparable between processes.
using TimePoint = ProcessClock::time_point;

namespace detail {

/// Returns the 64-bit XXH3 hash of `text`. Complexity: linear in the length of `text`.
std::uint64_t HashText(std::string_view text) noexcept;

}  // namespace detail

// clang-tidy 14 mistakes the literal 0 in a defaulted comparison for a null pointer.
// NOLINTBEGIN(modernize-use-nullptr)

/// Identifier of an entity: the 64-bit hash of its name. All instances derive the same identifier
/// without a shared directory. The configuration reader rejects two names with the same hash.
///
/// @code
/// const auto target = TargetId::FromName("khata-3");
/// @endcode
template <typename Tag>
struct Id {
  std::uint64_t value = 0;

  /// Returns the identifier of the entity with this name. Complexity: linear in the length of
  /// `name`.
  static Id FromName(std::string_view name) noexcept { return Id{detail::HashText(name)}; }

  friend auto operator<=>(const Id&, const Id&) = default;
  MSGPACK_DEFINE_ARRAY(value)
};

using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using ServiceId = Id<struct ServiceTag>;
using TargetId = Id<struct TargetTag>;
using AccountId = Id<struct AccountTag>;
using RouteId = Id<struct RouteTag>;

/// Number of a run of an instance's process. A restarted process has a higher incarnation.
struct Incarnation {
  std::uint64_t value = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
  MSGPACK_DEFINE_ARRAY(value)
};

/// Identifier of a shard of a keyed service.
struct ShardId {
  ServiceId service;
  std::uint32_t index = 0;

  friend auto operator<=>(const ShardId&, const ShardId&) = default;
  MSGPACK_DEFINE_ARRAY(service, index)
};

/// Fencing token of an assignment: the log offset of the delegation, followed by a counter of its
/// coordinator. Later assignments compare greater.
struct Epoch {
  std::uint64_t delegation = 0;
  std::uint64_t counter = 0;

  friend auto operator<=>(const Epoch&, const Epoch&) = default;
  MSGPACK_DEFINE_ARRAY(delegation, counter)
};

// NOLINTEND(modernize-use-nullptr)

/// Returns `epoch` as text, `<delegation>.<counter>`, as in the `Dogwood-Epoch` header.
std::string ToString(const Epoch& epoch);

}  // namespace dogwoodport

template <typename Tag>
struct std::hash<dogwoodport::Id<Tag>> {
  std::size_t operator()(const dogwoodport::Id<Tag>& id) const noexcept { return id.value; }
};

template <>
struct std::hash<dogwoodport::ShardId> {
  std::size_t operator()(const dogwoodport::ShardId& id) const noexcept {
    return id.service.value ^ (id.index * 0x9E3779B97F4A7C15ULL);
  }
};
