#pragma once

/// @file
/// Quarantine for requests that crash every target that runs them, across all instances and
/// attempts.
///
/// A request becomes a suspect when an attempt ends without a response. A request under which
/// several targets were lost, and to which no target has responded, is refused by all instances for
/// a limited time.

#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"
#include "dogwoodport/fleet/requests/request_fingerprint.h"

namespace dogwoodport::fleet {

struct QuarantineSettings {
  /// Number of targets lost under a request before it is refused.
  std::size_t max_losses = 3;
  /// Time window in which these losses must occur.
  Duration loss_window{300'000'000};
  /// Maximum time from the end of an attempt to the detection that its target was lost. Also the
  /// time after which a target whose connection broke counts as present again.
  Duration loss_detection_window{5'000'000};
  /// Time for which a request is refused. During the same time afterwards, a single further loss
  /// puts it back in quarantine.
  Duration quarantine_duration{600'000'000};
  /// Time after a response in which losses are not attributed to the request.
  Duration immunity_time{60'000'000};
  /// Time for which an update is included in every report, because single reports may be lost.
  Duration update_resend_duration{2'000'000};
  /// Maximum number of suspects, and maximum number of updates of each kind in a report.
  std::size_t max_suspects = 4'096;
  std::size_t max_updates = 64;
};

/// A target that was lost while it ran a request.
struct TargetLoss {
  Fingerprint fingerprint = 0;
  /// Hash of the target id and its incarnation.
  std::uint64_t target = 0;

  MSGPACK_DEFINE_ARRAY(fingerprint, target)
};

/// A request in quarantine.
struct QuarantinedRequest {
  Fingerprint fingerprint = 0;
  std::uint32_t remaining_ms = 0;

  MSGPACK_DEFINE_ARRAY(fingerprint, remaining_ms)
};

/// Report of an instance to the others. In a large fleet the coordinator sends one to all.
struct QuarantineReport {
  std::vector<TargetLoss> losses;
  /// Suspects to which a target has responded.
  std::vector<Fingerprint> responded;
  std::vector<QuarantinedRequest> quarantined;

  MSGPACK_DEFINE_ARRAY(losses, responded, quarantined)
};

/// A change of the quarantine state of a request.
struct QuarantineChange {
  enum class Kind {
    kLosses,    ///< Too many targets were lost.
    kReported,  ///< Reported by another instance or by the store.
    kAnswered,  ///< A target responded, so the request is released.
    kExpired,
  };
  Kind kind = Kind::kLosses;
  Fingerprint fingerprint = 0;
  std::size_t losses = 0;
};

/// Returns the name of a change for logs.
const char* NameOf(QuarantineChange::Kind kind) noexcept;

/// Quarantine state of one instance.
class Quarantine {
 public:
  explicit Quarantine(QuarantineSettings settings = {}) : settings_(settings) {}

  /// Returns the remaining quarantine time of requests with `fingerprint`, or nothing if they are
  /// not in quarantine.
  std::optional<Duration> RemainingTime(Fingerprint fingerprint, TimePoint now) const;
  /// Whether there is any quarantined request, or any suspect. If there is none, no fingerprint
  /// needs to be computed.
  bool any_quarantined() const noexcept { return quarantined_ > 0; }
  bool any_suspects() const noexcept { return !suspects_.empty(); }

  /// Called when a connection to a target broke while the target may have run the request that was
  /// sent at `sent_at`. A target is lost only once: requests sent after its first broken connection
  /// are not suspected.
  void OnConnectionLost(Fingerprint fingerprint, const std::string& target,
                        std::uint64_t incarnation, TimePoint sent_at, TimePoint now);
  /// Called when an attempt that began at `sent_at` ended without a response, for a reason that
  /// does not prove the loss of the target. It counts if the target was lost in the meantime or is
  /// found to be lost later.
  void OnNoResponse(Fingerprint fingerprint, const std::string& target, std::uint64_t incarnation,
                    TimePoint sent_at, TimePoint now);
  /// Called when a target is unreachable, has left or has restarted.
  void OnTargetLost(const std::string& target, TimePoint now);
  /// Called when a target has responded to a request, which also shows that the target is not lost.
  void OnResponse(Fingerprint fingerprint, const std::string& target, std::uint64_t incarnation,
                  TimePoint now);

  /// Returns the recent observations of this instance and the requests in quarantine.
  QuarantineReport MakeReport(TimePoint now) const;
  /// Returns a report without losses, but with the responses that other instances have reported.
  /// For instances that receive reports from this one only.
  QuarantineReport MakeDigest(TimePoint now) const;
  void OnReport(const QuarantineReport& report, TimePoint now);
  /// Quarantines a request that the store lists as quarantined.
  void Restore(Fingerprint fingerprint, TimePoint now);

  /// Removes expired entries. Called about once a second.
  void Expire(TimePoint now);
  /// Removes and returns the changes since the last call, oldest first.
  std::vector<QuarantineChange> TakeChanges() { return std::exchange(changes_, {}); }
  /// Returns the requests that have been in quarantine for at least `age`.
  std::vector<Fingerprint> QuarantinedFor(Duration age, TimePoint now) const;

 private:
  struct Suspect {
    /// Time of the loss, by hash of the target and its incarnation.
    std::map<std::uint64_t, TimePoint> losses;
    std::optional<TimePoint> cleared_at;
    TimePoint quarantined_at{};
    TimePoint quarantined_until{};
    bool quarantined = false;
    TimePoint probation_until{};
  };
  struct UnansweredAttempt {
    Fingerprint fingerprint = 0;
    std::string target;
    std::uint64_t incarnation = 0;
    TimePoint sent_at{};
    TimePoint at{};
  };
  template <typename T>
  struct QuarantineUpdate {
    TimePoint at{};
    T value;
  };

  void RecordLoss(const TargetLoss& loss, TimePoint now);
  void ClearSuspicion(Fingerprint fingerprint, TimePoint now);
  void EnterQuarantine(Fingerprint fingerprint, Suspect& suspect, Duration duration,
                       QuarantineChange::Kind reason, TimePoint now);
  void LeaveQuarantine(Fingerprint fingerprint, Suspect& suspect, QuarantineChange::Kind reason);
  bool HasCapacity() const noexcept { return suspects_.size() < settings_.max_suspects; }
  bool MustRetain(const Suspect& suspect, TimePoint now) const;

  QuarantineSettings settings_;
  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::size_t quarantined_ = 0;
  /// Attempts without a response whose targets may turn out to be lost, oldest first.
  std::deque<UnansweredAttempt> unanswered_;
  /// Time of the first broken connection, by hash of the target and its incarnation.
  std::unordered_map<std::uint64_t, TimePoint> first_break_at_;
  /// Time of the latest loss, by target.
  std::unordered_map<std::string, TimePoint> lost_at_;
  /// Losses and responses that this instance observed, and responses that others have reported.
  std::deque<QuarantineUpdate<TargetLoss>> losses_;
  std::deque<QuarantineUpdate<Fingerprint>> responses_;
  std::deque<QuarantineUpdate<Fingerprint>> peer_responses_;
  std::vector<QuarantineChange> changes_;
};

}  // namespace dogwoodport::fleet
