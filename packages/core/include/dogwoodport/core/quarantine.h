#pragma once

/// @file
/// Blocks requests that crash the targets that run them.

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/message.h"
#include "dogwoodport/core/order_table.h"

namespace dogwoodport {

/// Time within which two targets must be lost with the same fingerprint in flight.
inline constexpr Duration kQuarantineWindow{60'000'000};

/// Targets lost with a fingerprint in flight that put it in quarantine.
inline constexpr std::size_t kQuarantineLosses = 2;

/// Fingerprints in quarantine at once; further ones wait until an operator has released some.
inline constexpr std::size_t kMaxQuarantined = 1'024;

// NOLINTBEGIN(modernize-use-nullptr)  -- see types.h
/// Identifies requests that are the same to a target.
struct Fingerprint {
  std::uint64_t value = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};
// NOLINTEND(modernize-use-nullptr)

/// Returns the fingerprint of client account, route and content. Complexity: constant.
Fingerprint MakeFingerprint(AccountId account, RouteId route, const BodyHash& body) noexcept;

/// Quarantine at one instance. A fingerprint that finished at some target after the first loss is
/// no longer suspected, so popular requests that happen to be in flight in two losses stay open.
///
/// @code
/// if (quarantine.Blocked(fingerprint)) return Answer422();
/// quarantine.OnSent(fingerprint, target);
/// @endcode
class Quarantine {
 public:
  /// Sets the other instances that learn of losses and of quarantined fingerprints.
  void SetInstances(std::vector<InstanceId> others) { others_ = std::move(others); }

  /// Whether requests with `fingerprint` get 422. Complexity: constant on average.
  bool Blocked(Fingerprint fingerprint) const;

  /// A request was sent to a target.
  void OnSent(Fingerprint fingerprint, TargetId target);

  /// A request ended; `answered` if the target answered it.
  void OnFinished(TimePoint now, Fingerprint fingerprint, TargetId target, bool answered,
                  Outbox& out);

  /// The target's process was lost. Call before the connections' `OnFinished`. Returns whether a
  /// quarantined request explains the loss; the target is then not to be ejected.
  bool OnTargetLost(TimePoint now, TargetId target, Outbox& out);

  /// Applies a record of the log; a record with a lower version than known is ignored.
  void OnRecord(Fingerprint fingerprint, std::uint64_t version, bool active);

  void OnMessage(TimePoint now, InstanceId from, const LossNotice& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const QuarantineNotice& message, Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  /// Removes and returns fingerprints that this instance put in quarantine, for the log.
  std::vector<Fingerprint> TakeAdded() { return std::exchange(added_, {}); }

  /// Returns the fingerprints in quarantine, in order. Complexity: linear.
  std::vector<Fingerprint> List() const;

 private:
  struct State {
    std::uint64_t version = 0;
    bool active = false;
  };

  struct Suspicion {
    std::map<TargetId, TimePoint> losses;
  };

  struct Repeat {
    QuarantineNotice notice;
    TimePoint next_send;
    int sends_left = 0;
  };

  void AddLoss(TimePoint now, Fingerprint fingerprint, TargetId target, Outbox& out);
  void Broadcast(const Message& message, Outbox& out) const;

  std::vector<InstanceId> others_;
  std::map<TargetId, std::multiset<Fingerprint>> in_flight_;
  std::map<Fingerprint, Suspicion> suspicions_;
  std::unordered_map<std::uint64_t, State> states_;
  std::size_t active_count_ = 0;
  std::vector<Repeat> repeats_;
  std::vector<Fingerprint> added_;
};

}  // namespace dogwoodport
