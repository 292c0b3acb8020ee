#pragma once

/// @file
/// Blocks requests that crash the targets they are sent to.

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/order_table.h"

namespace dogwoodport {

/// Losses of targets count towards the quarantine of a fingerprint for this time.
inline constexpr Duration kQuarantineWindow{60'000'000};

/// Number of distinct targets lost with a fingerprint in flight after which it is quarantined.
inline constexpr std::size_t kQuarantineLosses = 2;

/// Maximum number of quarantined fingerprints. At the maximum, no further fingerprint is
/// quarantined until an operator releases one.
inline constexpr std::size_t kMaxQuarantined = 1'024;

// NOLINTBEGIN(modernize-use-nullptr)  -- see types.h
/// Identifies requests that are identical for a target.
struct Fingerprint {
  std::uint64_t value = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};
// NOLINTEND(modernize-use-nullptr)

/// Returns the fingerprint of requests with this client account, route and content. Complexity:
/// constant.
Fingerprint MakeFingerprint(AccountId account, RouteId route, const BodyHash& body) noexcept;

/// Quarantine state of one instance. A fingerprint is no longer suspected once a target has
/// responded to a request with it after the first loss, so frequent requests that happen to be in
/// flight in two losses are not blocked.
///
/// @code
/// if (quarantine.Blocked(fingerprint)) return RefuseWith422();
/// quarantine.OnSent(fingerprint, target);
/// @endcode
class Quarantine {
 public:
  /// Sets the other instances, which are notified of losses and quarantined fingerprints.
  void SetInstances(std::vector<InstanceId> others) { others_ = std::move(others); }

  /// Whether requests with `fingerprint` are refused with status 422. Complexity: constant on
  /// average.
  bool Blocked(Fingerprint fingerprint) const;

  /// Records that a request was sent to a target.
  void OnSent(Fingerprint fingerprint, TargetId target);

  /// Records that a request ended. `answered` is set if the target responded.
  void OnFinished(TimePoint now, Fingerprint fingerprint, TargetId target, bool answered,
                  Outbox& out);

  /// Records that the target's process was lost. Must be called before `OnFinished` for the
  /// requests on its connections. Returns whether a quarantined request explains the loss; if so,
  /// the target should not be ejected.
  bool OnTargetLost(TimePoint now, TargetId target, Outbox& out);

  /// Applies a record of the log. A record whose version is not higher than the current one is
  /// ignored.
  void OnRecord(Fingerprint fingerprint, std::uint64_t version, bool active);

  void OnMessage(TimePoint now, InstanceId from, const LossNotice& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const QuarantineNotice& message, Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  /// Returns the fingerprints quarantined by this instance, which must be recorded in the log, and
  /// clears the list.
  std::vector<Fingerprint> TakeAdded() { return std::exchange(added_, {}); }

  /// Returns the quarantined fingerprints in ascending order. Complexity: linear.
  std::vector<Fingerprint> List() const;

 private:
  struct State {
    std::uint64_t version = 0;
    bool active = false;
  };

  struct Suspicion {
    std::map<TargetId, TimePoint> losses;
  };

  struct PendingBroadcast {
    QuarantineNotice notice;
    TimePoint next_send;
    int sends_remaining = 0;
  };

  void AddLoss(TimePoint now, Fingerprint fingerprint, TargetId target, Outbox& out);
  void Broadcast(const Message& message, Outbox& out) const;

  std::vector<InstanceId> others_;
  std::map<TargetId, std::multiset<Fingerprint>> in_flight_;
  std::map<Fingerprint, Suspicion> suspicions_;
  std::unordered_map<std::uint64_t, State> states_;
  std::size_t active_count_ = 0;
  std::vector<PendingBroadcast> pending_broadcasts_;
  std::vector<Fingerprint> added_;
};

}  // namespace dogwoodport
