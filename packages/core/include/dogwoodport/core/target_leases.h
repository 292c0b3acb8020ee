#pragma once

/// @file
/// Leases of the targets that check grants, in each target's own clock.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// A target's right to serve a shard until `expires_at_ms` of its own clock. A target takes a grant
/// of a later epoch as it is and extends one of the same epoch, never shortens it.
struct Grant {
  ShardId shard;
  Epoch epoch;
  /// 0 releases the shard.
  std::int64_t expires_at_ms = 0;
};

/// One `PUT /-/grants` to a target. Without grants it only reads the target's clock.
struct GrantRequest {
  TargetId target;
  std::uint64_t request = 0;
  /// Identifies the run of the target whose clock `expires_at_ms` refers to; empty in a clock
  /// reading. A target must refuse grants for another run, because its clock may have restarted.
  std::string boot_id;
  std::vector<Grant> grants;
};

/// A target's answer to a `GrantRequest`.
struct GrantReply {
  TargetId target;
  std::uint64_t request = 0;
  /// The run of the target that answered.
  std::string boot_id;
  std::int64_t clock_ms = 0;
};

/// Age of a clock reading after which it is taken again before a lease is computed from it.
inline constexpr Duration kClockReadingMaxAge{1'000'000};

/// Keeps clock readings of targets and computes leases that end no later than the permit of the
/// instance that sends them.
class TargetLeases {
 public:
  /// Returns a grant request with leases that end by `ends_at`, or a clock reading if the last one
  /// is too old. Complexity: linear in the number of shards.
  GrantRequest Extend(TimePoint now, TimePoint ends_at, TargetId target,
                      const std::vector<std::pair<ShardId, Epoch>>& shards);

  /// Returns a request that ends the target's leases on older epochs of `shards`.
  GrantRequest Release(TimePoint now, TargetId target,
                       const std::vector<std::pair<ShardId, Epoch>>& shards);

  /// Stores the clock reading. Returns whether the run that answered is the one that the request
  /// was for. Complexity: linear in the requests without an answer.
  bool OnReply(TimePoint now, const GrantReply& reply);

  /// Forgets all readings and open requests, after a pause.
  void Clear();

 private:
  struct Reading {
    std::string boot_id;
    std::int64_t clock_ms = 0;
    TimePoint received_at{};
    bool known = false;
  };
  struct Open {
    std::uint64_t request = 0;
    std::string boot_id;
    TimePoint sent_at;
  };

  GrantRequest NewRequest(TimePoint now, TargetId target, const std::string& boot_id);

  std::unordered_map<TargetId, Reading> readings_;
  std::vector<Open> open_;
  std::uint64_t next_request_ = 1;
};

}  // namespace dogwoodport
