#pragma once

/// @file
/// Member of the permit group of one data centre. It acknowledges changes of the assignment table
/// and renewals of permits.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/shard_map.h"

namespace dogwoodport {

/// Replicates the table changes of the newest delegation that it follows, and acknowledges renewals
/// under that delegation. Its state is lost when the process ends, so a delegation names the
/// incarnation that may vote.
class PermitGroup {
 public:
  /// `settings` must outlive the member. `self` and `incarnation` are those of this process.
  PermitGroup(DataCentreId data_centre, InstanceId self, Incarnation incarnation,
              const OwnershipSettings& settings)
      : data_centre_(data_centre), self_(self), incarnation_(incarnation), settings_(settings) {}

  /// Acknowledges a renewal if the installed delegation still has the vote of this member.
  /// Complexity: linear in the number of permit holders and of missing changes.
  void OnMessage(TimePoint now, InstanceId from, const RenewRequest& request, Outbox& out);

  /// Sends the whole table, if one is installed. Complexity: linear in the size of the table.
  void OnMessage(InstanceId from, const TableRequest& request, Outbox& out) const;

  /// Applies changes to the table. Returns false if their delegation does not have the vote of this
  /// member or if the table lacks changes before them.
  bool OnMessage(const ReplicateRequest& request);

  /// Installs the table of a delegation and gives it the vote of this member. Returns false if the
  /// member has promised to follow a newer delegation.
  bool OnMessage(const InstallRequest& request);

  /// Withdraws the vote from older delegations and sends the table. Does nothing if the member has
  /// promised to follow a newer delegation. Complexity: linear in the size of the table.
  void OnMessage(InstanceId from, const TakeoverRequest& request, Outbox& out);

  /// Returns the sequence of the table under `delegation`, or zero if the delegation does not have
  /// the vote of this member.
  Epoch RecordedFor(std::uint64_t delegation) const noexcept;

  /// Returns the processes whose permit may still be valid. Complexity: linear in their number.
  std::vector<PermitHolder> Holders(TimePoint now) const;

  const ShardMap& table() const noexcept { return table_; }

  /// Delegation whose table is installed; absent before the first installation.
  const std::optional<Delegation>& installed() const noexcept { return installed_; }

  /// Returns the size of the state in bytes. Complexity: linear in the number of services.
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
  /// Log offset of the newest delegation that the member has promised to follow.
  std::uint64_t promised_ = 0;
  /// Recent changes. `changes_base_` is the sequence of the table before the first one.
  std::deque<ShardChange> changes_;
  Epoch changes_base_;
  std::map<PermitHolder, TimePoint> holders_;
};

}  // namespace dogwoodport
