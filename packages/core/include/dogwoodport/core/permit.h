#pragma once

/// @file
/// Permit of an instance to route by its copy of the assignment table of its data centre.
///
/// A permit is a lease: it is valid for a limited time after a majority of the permit group has
/// acknowledged a renewal.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/owned_requests.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/shard_map.h"

namespace dogwoodport {

/// Requests renewals of the permit, counts acknowledgements, and applies the table changes that
/// they contain.
class Permit {
 public:
  /// `settings` must outlive the permit. `incarnation` is that of this process.
  Permit(DataCentreId data_centre, Incarnation incarnation, const OwnershipSettings& settings)
      : data_centre_(data_centre), incarnation_(incarnation), settings_(settings) {}

  /// Adds a delegation of the data centre, received from the log or from a member of the permit
  /// group. Complexity: linear in the number of delegations that may still acknowledge.
  void OnDelegation(const Delegation& delegation);

  /// Requests a renewal if one is due. Complexity: linear in the number of members of the
  /// delegations.
  void Tick(TimePoint now, Outbox& out);

  /// Counts an acknowledgement and applies its changes. Requests the table from `from` if the
  /// changes do not reach the acknowledged sequence. Complexity: linear in the size of the
  /// acknowledgement.
  void OnMessage(TimePoint now, InstanceId from, const RenewAck& ack, Outbox& out);

  /// Installs the table of a member unless it is older than the own one. Complexity: linear in the
  /// size of the table.
  void OnMessage(TimePoint now, InstanceId from, const TableReply& reply);

  /// Applies changes that follow sequence `previous`, from the coordinator or an acknowledgement.
  /// Returns false if the table lacks changes up to `previous`.
  bool ApplyChanges(Epoch previous, const std::vector<ShardChange>& changes);

  /// Installs a table unless it is older than the own one. Complexity: linear in the size of the
  /// table.
  void InstallTable(Epoch sequence, const std::vector<ShardChange>& entries);

  /// Invalidates the permit and ignores all responses to earlier requests. Used after a pause of
  /// the process and at shutdown.
  void Drop();

  /// Returns whether the permit is valid. Must be called directly before each write. Complexity:
  /// constant.
  bool ValidAt(TimePoint now) const noexcept { return now < valid_until_; }

  /// Time at which the permit expires.
  TimePoint valid_until() const noexcept { return valid_until_; }

  /// Newest delegation that the instance has received, or null.
  const Delegation* newest() const noexcept {
    return delegations_.empty() ? nullptr : &delegations_.back();
  }

  /// Sequence of the table that the instance may acknowledge; see `OwnedRequests`.
  Epoch Applied(TimePoint now) { return requests_.Acknowledged(now, table_); }

  /// Requests of this instance that are running at shard owners.
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
  /// Sorted by offset. Delegations older than the newest one with a majority of acknowledgements
  /// are removed.
  std::vector<Delegation> delegations_;
  ShardMap table_;
  OwnedRequests requests_;
  std::deque<Round> rounds_;
  std::uint64_t next_request_ = 1;
  TimePoint next_renewal_{};
  TimePoint next_table_request_{};
  TimePoint valid_until_{};
};

/// Returns the number of members that form a majority of `delegation`.
std::size_t MajorityOf(const Delegation& delegation) noexcept;

/// Returns the member of `delegation` with this identifier, or null.
const Member* FindMember(const Delegation& delegation, InstanceId id) noexcept;

}  // namespace dogwoodport
