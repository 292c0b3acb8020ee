#pragma once

/// @file
/// A member of the permit group of one data centre: its vote on prepares, commits and permits.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/shard_map.h"

namespace dogwoodport {

/// Records the changes of the newest delegation that asked it and acknowledges permits under it.
/// Its state is lost with the process, so a delegation names the incarnation that may vote.
class PermitGroup {
 public:
  /// `settings` must outlive the member. `self` and `incarnation` are those of this process.
  PermitGroup(DataCentreId data_centre, InstanceId self, Incarnation incarnation,
              const OwnershipSettings& settings)
      : data_centre_(data_centre), self_(self), incarnation_(incarnation), settings_(settings) {}

  /// Acknowledges a renewal if the member's delegation still has its vote. Complexity: linear in
  /// the missing changes.
  void OnMessage(TimePoint now, InstanceId from, const RenewRequest& request, Outbox& out);

  /// Sends the whole table. Complexity: linear in the table.
  void OnMessage(InstanceId from, const TableRequest& request, Outbox& out) const;

  /// Records changes. Returns false when they are not of the member's delegation or not contiguous.
  bool OnMessage(const ReplicateRequest& request);

  /// Installs the table of a delegation and gives it the vote. Returns false when the vote went to
  /// a newer one.
  bool OnMessage(const InstallRequest& request);

  /// Takes the vote from older delegations and sends the table. Complexity: linear in the table.
  void OnMessage(InstanceId from, const TakeoverRequest& request, Outbox& out);

  /// Sequence recorded for `delegation`; zero if it does not have the vote.
  Epoch RecordedFor(std::uint64_t delegation) const noexcept;

  /// Returns the processes whose permit may still be valid. Complexity: linear in their number.
  std::vector<PermitHolder> Holders(TimePoint now) const;

  const ShardMap& table() const noexcept { return table_; }

  /// Delegation whose table the member holds; none before the first installation.
  const std::optional<Delegation>& installed() const noexcept { return installed_; }

  /// Bytes of the state. Complexity: linear in the number of services.
  std::size_t MemoryBytes() const noexcept;

 private:
  bool HasVote(std::uint64_t delegation) const noexcept;
  void Record(const ShardChange& change);

  DataCentreId data_centre_;
  InstanceId self_;
  Incarnation incarnation_;
  const OwnershipSettings& settings_;
  ShardMap table_;
  std::optional<Delegation> installed_;
  /// Newest delegation that the member promised to follow.
  std::uint64_t promised_ = 0;
  /// Recent changes; `changes_base_` is the sequence before the first one.
  std::deque<ShardChange> changes_;
  Epoch changes_base_;
  std::map<PermitHolder, TimePoint> holders_;
};

}  // namespace dogwoodport
