#pragma once

/// @file
/// Timing of the ownership protocol, and the recovery times that result from it.

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Thrown for settings that violate the safety of the protocol or its recovery budget.
class OwnershipSettingsError : public Error {
 public:
  using Error::Error;
};

/// Validity of a permit, counted from a time read before its renewal request is sent.
inline constexpr Duration kPermitDuration{1'500'000};
/// Interval between renewals of a permit.
inline constexpr Duration kRenewalInterval{300'000};
/// Maximum rate difference between two clocks, in percent.
inline constexpr int kClockDriftPercent = 1;
/// Interval between two ticks above which the process is considered to have been paused.
inline constexpr Duration kPermitPauseGap{250'000};
/// Time without messages from the coordinator after which a member proposes a delegation.
inline constexpr Duration kCoordinatorTimeout{1'000'000};
/// Maximum delay by rank between members that propose a delegation.
inline constexpr Duration kProposerDelay{300'000};
/// Time needed to append a delegation record and to read it back.
inline constexpr Duration kDelegationRecordTime{500'000};
/// Time needed to collect and install the table in a takeover.
inline constexpr Duration kTakeoverTime{50'000};
/// Time without a successful probe after which a target is considered lost.
inline constexpr Duration kTargetLossTimeout{1'000'000};
/// Time needed to record a prepare at a majority.
inline constexpr Duration kPrepareTime{50'000};
/// Time needed to send a grant to a target.
inline constexpr Duration kGrantTime{50'000};
/// Time needed to record a commit at a majority.
inline constexpr Duration kCommitTime{50'000};
/// Maximum time until a key is served again after the loss of its target, of the coordinator, or of
/// both at once.
inline constexpr Duration kRecoveryBudget{5'000'000};

/// Timing and sizes that a deployment can override. The defaults pass `Validate`.
struct OwnershipSettings {
  Duration permit_duration = kPermitDuration;
  Duration renewal_interval = kRenewalInterval;
  Duration pause_gap = kPermitPauseGap;
  Duration coordinator_timeout = kCoordinatorTimeout;
  Duration proposer_delay = kProposerDelay;
  Duration delegation_record_time = kDelegationRecordTime;
  Duration target_loss_timeout = kTargetLossTimeout;
  /// Interval between retries of unacknowledged messages and grants.
  Duration resend_interval{50'000};
  /// Time after which a grant that the target has not acknowledged is abandoned.
  Duration grant_timeout{500'000};
  /// Time without messages from the coordinator after which other members renew the leases of
  /// targets.
  Duration lease_takeover_timeout{600'000};
  /// Interval between two plans of moves.
  Duration plan_interval{50'000};
  /// Interval between two load reports of an instance.
  Duration load_report_interval{1'000'000};
  /// Maximum number of shards in one batch of moves. Limits the size of messages and log records.
  std::size_t batch_size = 512;
  /// For tests only: false skips the wait for permits that may still be valid, which is unsafe.
  bool wait_for_permits = true;

  /// Returns `permit_duration` plus the maximum clock drift: the time after which the permits of
  /// other instances have expired.
  Duration PermitWait() const noexcept;

  /// Throws `OwnershipSettingsError` with all violated conditions if there are any.
  void Validate() const;
};

/// Maximum expected time until a key is served again, by what was lost.
struct RecoveryBudget {
  Duration target_lost;
  Duration target_and_coordinator_lost;
};

/// Returns the recovery times that result from the settings. Complexity: constant.
RecoveryBudget ComputeRecoveryBudget(const OwnershipSettings& settings) noexcept;

}  // namespace dogwoodport
