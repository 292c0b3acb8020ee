#pragma once

/// @file
/// An instance's permit to route by its copy of its data centre's assignment table.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/owned_requests.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/shard_map.h"

namespace dogwoodport {

/// Requests renewals, counts acknowledgements and applies the table changes that come with them.
class Permit {
 public:
  /// `settings` must outlive the permit. `incarnation` is that of this process.
  Permit(DataCentreId data_centre, Incarnation incarnation, const OwnershipSettings& settings)
      : data_centre_(data_centre), incarnation_(incarnation), settings_(settings) {}

  /// Learns of a delegation of the data centre, from the log or a member. Complexity: linear in the
  /// number of delegations that may still acknowledge.
  void OnDelegation(const Delegation& delegation);

  /// Requests a renewal when one is due. Complexity: linear in the size of the groups.
  void Tick(TimePoint now, Outbox& out);

  /// Counts an acknowledgement and applies its changes. Complexity: linear in its size.
  void OnMessage(TimePoint now, InstanceId from, const RenewAck& ack, Outbox& out);

  /// Installs a member's table unless it is older. Complexity: linear in the table.
  void OnMessage(TimePoint now, InstanceId from, const TableReply& reply);

  /// Applies changes that the coordinator sent. Returns false when changes before them are missing.
  bool ApplyChanges(Epoch previous, const std::vector<ShardChange>& changes);

  /// Installs a table unless it is older. Complexity: linear in the table.
  void InstallTable(Epoch sequence, const std::vector<ShardChange>& entries);

  /// Gives up the permit and ignores all answers to earlier requests, after a pause or at shutdown.
  void Drop();

  /// Returns whether the permit is valid. Call it directly before a write. Complexity: constant.
  bool ValidAt(TimePoint now) const noexcept { return now < valid_until_; }

  /// First moment at which the permit is no longer valid.
  TimePoint valid_until() const noexcept { return valid_until_; }

  /// Newest delegation known to the instance.
  const Delegation* newest() const noexcept {
    return delegations_.empty() ? nullptr : &delegations_.back();
  }

  /// Sequence of the table that the instance may acknowledge; see `OwnedRequests`.
  Epoch Applied(TimePoint now) { return requests_.Acknowledged(now, table_); }

  /// Requests of this instance that run at owners.
  OwnedRequests& requests() noexcept { return requests_; }

  ShardMap& table() noexcept { return table_; }
  const ShardMap& table() const noexcept { return table_; }

 private:
  struct Ack {
    InstanceId member;
    std::uint64_t delegation = 0;
    Epoch sequence;
  };
  struct Round {
    std::uint64_t request = 0;
    TimePoint sent_at;
    std::vector<Ack> acks;
  };

  void RequestRenewal(TimePoint now, Outbox& out);
  void RequestTable(TimePoint now, InstanceId from, Outbox& out);
  bool HasMajority(const Round& round, const Delegation& delegation) const;
  void CountRounds();

  DataCentreId data_centre_;
  Incarnation incarnation_;
  const OwnershipSettings& settings_;
  /// Sorted by offset; those older than the last one that acknowledged are dropped.
  std::vector<Delegation> delegations_;
  ShardMap table_;
  OwnedRequests requests_;
  std::deque<Round> rounds_;
  std::uint64_t next_request_ = 1;
  TimePoint next_renewal_{};
  TimePoint next_table_request_{};
  TimePoint valid_until_{};
};

/// Returns the size of a majority of `delegation`.
std::size_t MajorityOf(const Delegation& delegation) noexcept;

/// Returns the member of `delegation` with this identifier or null.
const Member* FindMember(const Delegation& delegation, InstanceId id) noexcept;

}  // namespace dogwoodport
