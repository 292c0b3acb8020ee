#pragma once

/// @file
/// Stops requests that end each target that runs them, over all instances and attempts.
///
/// An attempt that ends without an answer makes its request suspect. A request under which several
/// targets were lost, and which none has answered, is refused everywhere for a while.

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
  /// Targets that are lost under a request before it is refused.
  std::size_t max_losses = 3;
  /// Time within which they are lost.
  Duration loss_window{300'000'000};
  /// Time between the end of an attempt and the news that its target was lost, and time after which
  /// a target whose connection broke counts as present again.
  Duration loss_detection_window{5'000'000};
  /// Time for which a request is refused. For as long again, one more loss is enough.
  Duration quarantine_duration{600'000'000};
  /// Time after an answer in which losses say nothing of the request.
  Duration immunity_time{60'000'000};
  /// Time for which news are repeated in the reports, as a report may be lost.
  Duration update_resend_duration{2'000'000};
  /// Suspects that are remembered, and news of a kind in a report.
  std::size_t max_suspects = 4'096;
  std::size_t max_updates = 64;
};

/// A target was lost while it ran a request.
struct TargetLoss {
  Fingerprint fingerprint = 0;
  /// Hash of the target and its incarnation.
  std::uint64_t target = 0;

  MSGPACK_DEFINE_ARRAY(fingerprint, target)
};

/// A request in quarantine.
struct QuarantinedRequest {
  Fingerprint fingerprint = 0;
  std::uint32_t remaining_ms = 0;

  MSGPACK_DEFINE_ARRAY(fingerprint, remaining_ms)
};

/// What an instance tells the others, or the coordinator of a large fleet tells all.
struct QuarantineReport {
  std::vector<TargetLoss> losses;
  /// Suspects that a target has answered.
  std::vector<Fingerprint> responded;
  std::vector<QuarantinedRequest> quarantined;

  MSGPACK_DEFINE_ARRAY(losses, responded, quarantined)
};

/// A request entered or left the quarantine.
struct QuarantineChange {
  enum class Kind {
    kLosses,    ///< Too many targets were lost.
    kReported,  ///< Another instance or the store said so.
    kAnswered,  ///< A target has answered it, so that it is released.
    kExpired,
  };
  Kind kind = Kind::kLosses;
  Fingerprint fingerprint = 0;
  std::size_t losses = 0;
};

/// Name of a change for logs.
const char* NameOf(QuarantineChange::Kind kind) noexcept;

/// Quarantine at one instance.
class Quarantine {
 public:
  explicit Quarantine(QuarantineSettings settings = {}) : settings_(settings) {}

  /// Returns how long requests with `fingerprint` are still refused; nothing if they are not.
  std::optional<Duration> RemainingTime(Fingerprint fingerprint, TimePoint now) const;
  /// Whether any request is refused, or any suspect; otherwise no fingerprint is needed.
  bool any_quarantined() const noexcept { return quarantined_ > 0; }
  bool any_suspects() const noexcept { return !suspects_.empty(); }

  /// The connection to a target broke while it may have run a request that was sent at `sent_at`.
  /// A target is lost once only: what was sent after the first break is not its cause.
  void OnConnectionLost(Fingerprint fingerprint, const std::string& target,
                        std::uint64_t incarnation, TimePoint sent_at, TimePoint now);
  /// An attempt that began at `sent_at` ended without an answer for a reason that may not be the
  /// target's end. It counts if the target was lost meanwhile or turns out to be lost.
  void OnNoResponse(Fingerprint fingerprint, const std::string& target, std::uint64_t incarnation,
                    TimePoint sent_at, TimePoint now);
  /// A target cannot be reached, has left or has started again.
  void OnTargetLost(const std::string& target, TimePoint now);
  /// A target has run the request to its end, so that it has not been lost either.
  void OnResponse(Fingerprint fingerprint, const std::string& target, std::uint64_t incarnation,
                  TimePoint now);

  /// What this instance has observed lately, and the requests in quarantine.
  QuarantineReport MakeReport(TimePoint now) const;
  /// The same with the answers that others have observed, for instances that hear only this one.
  QuarantineReport MakeDigest(TimePoint now) const;
  void OnReport(const QuarantineReport& report, TimePoint now);
  /// Takes over a request that the store has in quarantine.
  void Restore(Fingerprint fingerprint, TimePoint now);

  /// Forgets what is too old. Called about once a second.
  void Expire(TimePoint now);
  /// Removes and returns what has changed, oldest first.
  std::vector<QuarantineChange> TakeChanges() { return std::exchange(changes_, {}); }
  /// Requests that have been in quarantine for `age` at least.
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
  /// Attempts without an answer whose targets may turn out to be lost, oldest first.
  std::deque<UnansweredAttempt> unanswered_;
  /// Time of the first break, by hash of the target and its incarnation.
  std::unordered_map<std::uint64_t, TimePoint> first_break_at_;
  /// Time of the latest loss, by target.
  std::unordered_map<std::string, TimePoint> lost_at_;
  /// Own losses; own answers, and those that others have reported.
  std::deque<QuarantineUpdate<TargetLoss>> losses_;
  std::deque<QuarantineUpdate<Fingerprint>> responses_;
  std::deque<QuarantineUpdate<Fingerprint>> peer_responses_;
  std::vector<QuarantineChange> changes_;
};

}  // namespace dogwoodport::fleet
