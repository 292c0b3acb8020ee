#pragma once

/// @file
/// Determines which instances are usable, from heartbeats, incarnations and the platform's list of
/// instances.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/membership_messages.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

inline constexpr Duration kHeartbeatInterval{200'000};
/// Time without a heartbeat after which an instance is suspect: three missed heartbeats.
inline constexpr Duration kSuspectAfter{600'000};
/// Time without a heartbeat after which an instance is dead. It is part of the recovery budget of
/// section 4 of the design page.
inline constexpr Duration kDeadAfter{1'000'000};
/// Maximum gap between two ticks. A longer gap means that the process was paused.
inline constexpr Duration kPauseGap{250'000};
/// Interval at which a coordinator forwards an unchanged view of another data centre. Forwarding it
/// at each heartbeat would take 29 KB/s at the design size.
inline constexpr Duration kViewRefreshInterval{1'000'000};
/// Time for which the members of another data centre stay usable without a new view. A lost
/// coordinator is replaced within 2 s.
inline constexpr Duration kViewExpiry{5'000'000};
/// Time without a heartbeat after which an instance that is not on the platform's list is removed.
inline constexpr Duration kDeadMemberRetention{60'000'000};

/// Identity of one process.
struct InstanceIdentity {
  InstanceId id;
  Incarnation incarnation;
  DataCentreId data_centre;
};

/// Entry of the platform's list of instances.
struct PlatformMember {
  InstanceId id;
  DataCentreId data_centre;
  bool leaving = false;
};

/// State of an instance according to its heartbeats.
enum class Liveness { kUnknown, kAlive, kSuspect, kDead };

/// Information from the heartbeats of an instance.
struct MemberInfo {
  Incarnation incarnation;
  DataCentreId data_centre;
  TimePoint first_heartbeat;
  TimePoint last_heartbeat;
  std::uint64_t sequence = 0;
  std::uint64_t state_offset = 0;
  bool ready = false;
  bool leaving = false;
};

/// Exchanges heartbeats with other instances and tracks their liveness. Not thread-safe.
///
/// @code
/// membership.Tick(now, out);
/// if (membership.TakePause()) tokens.Drop();
/// @endcode
class Membership {
 public:
  Membership(const InstanceIdentity& self, TimePoint now);

  /// Replaces the platform's list of instances. Listed instances of the own data centre receive
  /// heartbeats. An instance that is listed as leaving is not usable until it restarts. Otherwise
  /// the list does not determine usability, since it lags behind.
  void SetPlatformList(TimePoint now, const std::vector<PlatformMember>& list);

  /// Sets the delegations, which name the coordinator of each data centre, from the control state.
  void SetCoordinators(const std::map<DataCentreId, Delegation>& delegations);

  /// Sets the status that the heartbeats of this instance report.
  void SetStatus(std::uint64_t state_offset, bool ready, bool leaving);

  void OnMessage(TimePoint now, InstanceId from, const Heartbeat& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const DataCentreView& message, Outbox& out);

  /// Sends due heartbeats and views, and detects pauses of the process. Must be called at least
  /// every 100 ms.
  void Tick(TimePoint now, Outbox& out);

  /// Returns true once after a pause of the process. The caller must then discard permits and token
  /// balances before it does anything else.
  bool TakePause() noexcept;

  /// Returns the state of an instance according to its heartbeats. The own instance is always
  /// alive. Complexity: logarithmic.
  Liveness liveness(TimePoint now, InstanceId id) const;

  /// Returns whether new work may be sent to the instance. Complexity: logarithmic.
  bool IsUsable(TimePoint now, InstanceId id) const;

  /// Returns the information on an instance, or null if no heartbeat of it was received.
  /// Complexity: logarithmic.
  const MemberInfo* Find(InstanceId id) const;

  /// All other instances from which heartbeats were received, including dead ones.
  const std::map<InstanceId, MemberInfo>& members() const noexcept { return members_; }

  /// Returns the usable and ready instances of a data centre, including the own instance, ordered
  /// by identifier. For another data centre, it is the list of its coordinator's latest view, or
  /// empty if the view has expired. Complexity: linear.
  std::vector<MemberSummary> UsableMembers(TimePoint now, DataCentreId data_centre) const;

  /// Whether this process is the coordinator of its data centre. False if the delegation names an
  /// earlier incarnation of the instance.
  bool is_coordinator() const noexcept;

  const InstanceIdentity& self() const noexcept { return self_; }

 private:
  struct Listed {
    DataCentreId data_centre;
    /// Time at which the list first showed the instance as leaving.
    std::optional<TimePoint> leaving_since;
  };
  struct RemoteView {
    DataCentreView view;
    TimePoint seen;
    TimePoint forwarded_at;
  };

  void SendHeartbeats(TimePoint now, Outbox& out);
  void SendView(TimePoint now, Outbox& out);
  void ForwardView(TimePoint now, RemoteView& remote, Outbox& out);
  void RemoveExpiredMembers(TimePoint now);
  bool IsOwnMember(InstanceId id) const;

  InstanceIdentity self_;
  std::map<InstanceId, MemberInfo> members_;
  std::map<InstanceId, Listed> listed_;
  std::map<DataCentreId, Delegation> delegations_;
  std::map<DataCentreId, RemoteView> views_;
  TimePoint last_tick_;
  TimePoint last_heartbeat_sent_;
  bool heartbeat_sent_ = false;
  bool paused_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t view_sequence_ = 0;
  std::uint64_t state_offset_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace dogwoodport
