#pragma once

/// @file
/// Tracks requests at the owners of shards, which delay the acknowledgement of a move.

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "dogwoodport/core/shard_map.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Counts the requests in progress under each assignment of a shard. An instance must not
/// acknowledge the prepare of a move while one of its requests may still run at the old owner.
/// Otherwise the coordinator would grant the shard to the new owner, and an old owner that does not
/// check grants would run the request concurrently with requests at the new owner.
///
/// @code
/// requests.Start(shard, epoch);
/// ack.applied = requests.Acknowledged(now, table);  // excludes a later prepare of the shard
/// requests.End(shard, epoch, now);
/// @endcode
class OwnedRequests {
 public:
  /// Records that a request is about to be sent. Complexity: logarithmic in the assignments in use.
  void Start(ShardId shard, Epoch epoch);

  /// Records that the request does not run after `until`: the current time if the response is
  /// complete, otherwise the deadline that was sent to the target. Complexity: logarithmic,
  /// amortized.
  void End(ShardId shard, Epoch epoch, TimePoint until);

  /// Returns the sequence that the instance may acknowledge: the sequence of `table` if no request
  /// runs under an assignment that `table` has changed, otherwise the result of the previous call.
  /// Complexity: linear in the assignments in use.
  Epoch Acknowledged(TimePoint now, const ShardMap& table);

 private:
  using Key = std::pair<ShardId, Epoch>;

  struct Ending {
    TimePoint until;
    Key key;
  };

  void Release(const Key& key);

  std::map<Key, std::uint32_t> running_;
  std::vector<Ending> ending_;
  Epoch acknowledged_;
};

}  // namespace dogwoodport
