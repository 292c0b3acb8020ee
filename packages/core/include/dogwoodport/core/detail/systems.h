#pragma once

/// @file
/// The subsystems of one instance, and the propagation of control state changes to them.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/delegation_proposer.h"
#include "dogwoodport/core/limits.h"
#include "dogwoodport/core/log_follower.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/orders.h"
#include "dogwoodport/core/ownership.h"
#include "dogwoodport/core/quarantine.h"
#include "dogwoodport/core/retry_policy.h"
#include "dogwoodport/core/routing.h"
#include "dogwoodport/core/secret_store.h"

namespace dogwoodport::detail {

/// Identity and settings of the subsystems.
struct SystemSettings {
  InstanceIdentity self;
  std::string name;
  SecretSettings secrets;
  /// All other configured instances.
  std::vector<InstanceId> peers;
};

/// All subsystems of one instance except request processing. Not thread-safe.
class Systems {
 public:
  Systems(const SystemSettings& settings, TimePoint now);

  /// Dispatches a message to its subsystem. Ignores messages of other subsystems.
  void OnMessage(TimePoint now, InstanceId from, const Message& message, Outbox& out);

  /// Runs the periodic work of all subsystems. `unix_ms` is the wall-clock time.
  void Tick(TimePoint now, std::int64_t unix_ms, bool leaving, Outbox& out);

  /// Notifies the subsystems of changes in the control state. Must be called after each event that
  /// may have applied records.
  void Sync(TimePoint now, Outbox& out);

  /// Releases permits and tokens at shutdown.
  void Shutdown(TimePoint now);

  /// Returns the orders of the permit group of a data centre, which are created on first use.
  Orders& OrdersOf(DataCentreId data_centre);

  /// Returns whether the instance has the current control state, a configuration, a valid permit
  /// and, if its data centre has a share of the rates, a share of the tokens.
  bool Ready(TimePoint now) const;

  /// Returns the data centres that may receive requests, in the order of the configuration.
  std::vector<DataCentreId> InService() const;

  const Config& config() const noexcept { return *follower.state().config(); }

  /// Returns the grants to be sent to targets and clears the list.
  std::vector<GrantRequest> TakeGrants() { return std::exchange(grants_, {}); }

  SystemSettings settings;
  Membership membership;
  LogFollower follower;
  DelegationProposer proposer;
  Ownership ownership;
  Routing routing;
  Limits limits;
  Quarantine quarantine;
  RetryPolicy retries;
  SecretStore secrets;

 private:
  void SyncConfig(TimePoint now);
  void SyncAll(TimePoint now, Outbox& out);
  void Apply(TimePoint now, std::uint64_t offset, const RecordBody& body, Outbox& out);
  void ApplyDelegation(TimePoint now, const Delegation& delegation, Outbox& out);
  void ApplyDataCentre(TimePoint now, DataCentreId id, DataCentreState state);
  void SubmitRecords(TimePoint now);
  void SubmitQuarantine();
  void Propose(TimePoint now);
  void PropagatePermit(TimePoint now);
  void RecoverLostGroups(TimePoint now, Outbox& out);
  bool GroupLost(const Delegation& delegation) const;

  std::map<DataCentreId, Orders> orders_;
  /// Latest delegations of each data centre, newest first. Limited by number only; the orders need
  /// those within `kOrderWindow`.
  std::map<DataCentreId, std::vector<Delegation>> history_;
  std::shared_ptr<const Config> config_;
  std::deque<OwnershipRecord> unsubmitted_;
  std::vector<GrantRequest> grants_;
  std::int64_t unix_ms_ = 0;
  /// Start of a takeover from earlier groups that has not finished, or time of the last check for
  /// lost groups during it; unset if there is none.
  std::optional<TimePoint> takeover_since_;
};

}  // namespace dogwoodport::detail
