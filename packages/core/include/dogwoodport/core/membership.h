#pragma once

/// @file
/// Which instances can be used: heartbeats, incarnations and the platform's list.

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
/// Three missed heartbeats.
inline constexpr Duration kSuspectAfter{600'000};
/// Part of the recovery budget of section 4 of the design page.
inline constexpr Duration kDeadAfter{1'000'000};
/// A longer gap between two ticks means that the process was paused.
inline constexpr Duration kPauseGap{250'000};
/// A coordinator passes on an unchanged view of another data centre this often; at each heartbeat
/// it would cost 29 KB/s at the design size.
inline constexpr Duration kViewRefresh{1'000'000};
/// Remote members stay known this long without a view: a lost coordinator is replaced within 2 s.
inline constexpr Duration kViewExpiry{5'000'000};
/// Dead members that the platform's list does not have are forgotten after this time.
inline constexpr Duration kForgetAfter{60'000'000};

/// The identity of one process.
struct InstanceIdentity {
  InstanceId id;
  Incarnation incarnation;
  DataCentreId data_centre;
};

/// An entry of the platform's list.
struct PlatformMember {
  InstanceId id;
  DataCentreId data_centre;
  bool leaving = false;
};

/// State of an instance by its heartbeats.
enum class Liveness { kUnknown, kAlive, kSuspect, kDead };

/// What is known of an instance whose heartbeats were heard.
struct MemberInfo {
  Incarnation incarnation;
  DataCentreId data_centre;
  TimePoint first_heard;
  TimePoint last_heard;
  std::uint64_t sequence = 0;
  std::uint64_t state_offset = 0;
  bool ready = false;
  bool leaving = false;
};

/// The system of heartbeats. Not thread-safe.
///
/// @code
/// membership.Tick(now, out);
/// if (membership.TakePause()) tokens.Drop();
/// @endcode
class Membership {
 public:
  Membership(const InstanceIdentity& self, TimePoint now);

  /// Takes the platform's list, which lags: it adds receivers of heartbeats, and an instance that
  /// it has as leaving is not used until it restarts.
  void SetPlatformList(TimePoint now, const std::vector<PlatformMember>& list);

  /// Takes the coordinators and the epochs of their delegations from the control state.
  void SetCoordinators(const std::map<DataCentreId, Delegation>& delegations);

  /// Sets what the own heartbeats say.
  void SetStatus(std::uint64_t state_offset, bool ready, bool leaving);

  void OnMessage(TimePoint now, InstanceId from, const Heartbeat& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const DataCentreView& message, Outbox& out);

  /// Sends heartbeats and views, and notices pauses. Call it at least every 100 ms.
  void Tick(TimePoint now, Outbox& out);

  /// Returns once after each pause of the own process; permits and token balances must then be
  /// dropped before anything else is done.
  bool TakePause() noexcept;

  /// State of an instance by its heartbeats. Complexity: logarithmic.
  Liveness liveness(TimePoint now, InstanceId id) const;

  /// Returns whether new work can be sent to the instance. Complexity: logarithmic.
  bool IsUsable(TimePoint now, InstanceId id) const;

  /// Returns the instance as heard, or null. Complexity: logarithmic.
  const MemberInfo* Find(InstanceId id) const;

  /// All instances whose heartbeats were heard, dead ones included, without the own.
  const std::map<InstanceId, MemberInfo>& members() const noexcept { return members_; }

  /// Returns the instances of a data centre that can be used and are ready, ordered by id, the own
  /// included. Other data centres are known through the coordinators. Complexity: linear.
  std::vector<MemberSummary> UsableMembers(TimePoint now, DataCentreId data_centre) const;

  /// Whether the own instance is the coordinator of its data centre.
  bool is_coordinator() const noexcept;

  const InstanceIdentity& self() const noexcept { return self_; }

 private:
  struct Listed {
    DataCentreId data_centre;
    /// Since when the list has it as leaving.
    std::optional<TimePoint> leaving_since;
  };
  struct RemoteView {
    DataCentreView view;
    TimePoint heard;
    TimePoint passed_on;
  };

  void SendHeartbeats(TimePoint now, Outbox& out);
  void SendView(TimePoint now, Outbox& out);
  void PassOn(TimePoint now, RemoteView& remote, Outbox& out);
  void Forget(TimePoint now);
  bool IsOwnMember(InstanceId id) const;

  InstanceIdentity self_;
  std::map<InstanceId, MemberInfo> members_;
  std::map<InstanceId, Listed> listed_;
  std::map<DataCentreId, Delegation> delegations_;
  std::map<DataCentreId, RemoteView> views_;
  TimePoint last_tick_;
  TimePoint last_sent_;
  bool sent_any_ = false;
  bool paused_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t view_sequence_ = 0;
  std::uint64_t state_offset_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace dogwoodport
