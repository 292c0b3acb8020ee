#pragma once

/// @file
/// Requests that run at the owners of keys, as far as they delay the acknowledgement of a move.

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "dogwoodport/core/shard_map.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Counts the requests under way for each assignment. An instance must not acknowledge the prepare
/// of a move while one of its requests may still run at the old owner: the coordinator would grant
/// the shard to the new owner, and a target that does not check grants would run the request beside
/// it.
///
/// @code
/// requests.Start(shard, epoch);
/// ack.applied = requests.Acknowledged(now, table);  // excludes a later prepare of the shard
/// requests.End(shard, epoch, now);
/// @endcode
class OwnedRequests {
 public:
  /// A request is about to be written. Complexity: logarithmic in the assignments in use.
  void Start(ShardId shard, Epoch epoch);

  /// The request no longer runs from `until` on: the present time after a whole answer, else the
  /// deadline that the target was told. Complexity: logarithmic, amortized.
  void End(ShardId shard, Epoch epoch, TimePoint until);

  /// Returns the last known sequence of `table` up to which no request runs under an assignment
  /// that the table has changed. Complexity: linear in the assignments in use.
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
