#pragma once

/// @file
/// Times of the ownership protocol and the recovery budget that they add up to.

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Settings that break the protocol's safety or its recovery budget.
class OwnershipSettingsError : public Error {
 public:
  using Error::Error;
};

/// Validity of a permit, counted from before its renewal was requested.
inline constexpr Duration kPermitDuration{1'500'000};
/// Interval between renewals of a permit.
inline constexpr Duration kRenewalInterval{300'000};
/// Greatest difference of rate between two clocks, in parts per hundred.
inline constexpr int kClockDriftPercent = 1;
/// A tick that comes this much after the last one shows that the process was paused.
inline constexpr Duration kPermitPauseGap{250'000};
/// Silence of the coordinator after which a member proposes a delegation.
inline constexpr Duration kCoordinatorTimeout{1'000'000};
/// Largest delay between members that propose a delegation, by rank.
inline constexpr Duration kProposerDelay{300'000};
/// Time to append a delegation record and read it back.
inline constexpr Duration kDelegationRecordTime{500'000};
/// Time to collect and install the table.
inline constexpr Duration kTakeoverTime{50'000};
/// Time without a successful probe after which a target is lost.
inline constexpr Duration kTargetLossTimeout{1'000'000};
/// Time to record a prepare with a majority.
inline constexpr Duration kPrepareTime{50'000};
/// Time to send a grant to a target.
inline constexpr Duration kGrantTime{50'000};
/// Time to record a commit with a majority.
inline constexpr Duration kCommitTime{50'000};
/// Time within which a key is served again after a loss.
inline constexpr Duration kRecoveryBudget{5'000'000};

/// Times that a deployment may change; the defaults are the design's.
struct OwnershipSettings {
  Duration permit_duration = kPermitDuration;
  Duration renewal_interval = kRenewalInterval;
  Duration pause_gap = kPermitPauseGap;
  Duration coordinator_timeout = kCoordinatorTimeout;
  Duration proposer_delay = kProposerDelay;
  Duration delegation_record_time = kDelegationRecordTime;
  Duration target_loss_timeout = kTargetLossTimeout;
  /// Interval at which unacknowledged messages and grants are sent again.
  Duration resend_interval{50'000};
  /// A grant that a target has not acknowledged for this long is given up.
  Duration grant_timeout{500'000};
  /// Silence of the coordinator after which other members renew the leases of targets.
  Duration lease_takeover_silence{600'000};
  /// Interval between two plans of moves.
  Duration plan_interval{50'000};
  /// Interval between two load reports of an instance.
  Duration load_report_interval{1'000'000};
  /// Shards in one batch of moves; bounds the size of a message and of a log record.
  std::size_t batch_size = 512;
  /// For tests only: false skips the wait for permits that may still be valid, which is unsafe.
  bool wait_for_permits = true;

  /// Returns `permit_duration` plus the drift of clocks: the wait for permits of others.
  Duration PermitWait() const noexcept;

  /// Throws `OwnershipSettingsError` that names each violated condition.
  void Validate() const;
};

/// Longest expected times until a key is served again.
struct RecoveryBudget {
  Duration target_lost;
  Duration target_and_coordinator_lost;
};

/// Returns the two sums of the recovery budget. Complexity: constant.
RecoveryBudget ComputeRecoveryBudget(const OwnershipSettings& settings) noexcept;

}  // namespace dogwoodport
