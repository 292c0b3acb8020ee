#pragma once

/// @file
/// Leases of targets that check grants, expressed in the clock of each target.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Lease of a target on a shard until `expires_at_ms` of the target's clock. A target applies a
/// grant of a later epoch as it is; a grant of the same epoch can extend the lease but never
/// shortens it.
struct Grant {
  ShardId shard;
  Epoch epoch;
  /// Expiry in the clock of the target; 0 releases the shard.
  std::int64_t expires_at_ms = 0;
};

/// A `PUT /-/grants` request to a target. Without grants it only reads the clock of the target.
struct GrantRequest {
  TargetId target;
  std::uint64_t request = 0;
  /// Run of the target to whose clock `expires_at_ms` refers; empty in a clock reading. A target
  /// must refuse grants for another run, because its clock may have restarted.
  std::string boot_id;
  std::vector<Grant> grants;
};

/// Response of a target to a `GrantRequest`.
struct GrantReply {
  TargetId target;
  std::uint64_t request = 0;
  /// Run of the target that sent the response.
  std::string boot_id;
  std::int64_t clock_ms = 0;
};

/// Maximum age of a clock reading from which a lease may be computed. Older readings are renewed
/// first.
inline constexpr Duration kClockReadingMaxAge{1'000'000};

/// Stores clock readings of targets and computes leases that expire no later than the permit of the
/// instance that sends them.
class TargetLeases {
 public:
  /// Returns a grant request with leases that expire by `ends_at`, or a request for a clock reading
  /// if there is no recent one. Complexity: linear in the number of shards.
  GrantRequest Extend(TimePoint now, TimePoint ends_at, TargetId target,
                      const std::vector<std::pair<ShardId, Epoch>>& shards);

  /// Returns a request that ends the leases of the target on older epochs of `shards`.
  GrantRequest Release(TimePoint now, TargetId target,
                       const std::vector<std::pair<ShardId, Epoch>>& shards);

  /// Stores the clock reading. Returns whether the responding run of the target is the one that the
  /// request named. Complexity: linear in the number of pending requests.
  bool OnReply(TimePoint now, const GrantReply& reply);

  /// Discards all readings and pending requests after a pause of the process.
  void Clear();

 private:
  struct Reading {
    std::string boot_id;
    std::int64_t clock_ms = 0;
    TimePoint received_at{};
    bool known = false;
  };
  struct PendingRequest {
    std::uint64_t request = 0;
    std::string boot_id;
    TimePoint sent_at;
  };

  GrantRequest NewRequest(TimePoint now, TargetId target, const std::string& boot_id);

  std::unordered_map<TargetId, Reading> readings_;
  std::vector<PendingRequest> pending_;
  std::uint64_t next_request_ = 1;
};

}  // namespace dogwoodport
