#include "dogwoodport/core/ownership_settings.h"

#include <string>
#include <vector>

namespace dogwoodport {

Duration OwnershipSettings::PermitWait() const noexcept {
  return permit_duration + permit_duration * kClockDriftPercent / 100;
}

RecoveryBudget ComputeRecoveryBudget(const OwnershipSettings& settings) noexcept {
  const Duration move = kPrepareTime + settings.PermitWait() + kGrantTime + kCommitTime;
  const Duration target_lost = settings.target_loss_timeout + move;
  const Duration takeover = settings.coordinator_timeout + settings.proposer_delay +
                            settings.delegation_record_time + kTakeoverTime;
  return {target_lost, takeover + target_lost};
}

void OwnershipSettings::Validate() const {
  std::vector<std::string> errors;
  const RecoveryBudget budget = ComputeRecoveryBudget(*this);
  if (budget.target_and_coordinator_lost > kRecoveryBudget) {
    errors.push_back("recovery after the loss of a target and the coordinator takes " +
                     std::to_string(budget.target_and_coordinator_lost.count() / 1000) +
                     " ms, more than " + std::to_string(kRecoveryBudget.count() / 1000) + " ms");
  }
  // Three consecutive renewals can be lost before a permit expires.
  if (renewal_interval * 4 > permit_duration) {
    errors.push_back("renewal_interval must be at most a quarter of permit_duration");
  }
  if (renewal_interval.count() <= 0 || resend_interval.count() <= 0 || plan_interval.count() <= 0) {
    errors.push_back("renewal_interval, resend_interval and plan_interval must be positive");
  }
  if (pause_gap >= permit_duration) {
    errors.push_back("pause_gap must be less than permit_duration");
  }
  if (batch_size == 0) errors.push_back("batch_size must be positive");
  if (!wait_for_permits) errors.push_back("wait_for_permits must be true outside tests");
  if (errors.empty()) return;
  std::string text = "ownership settings:";
  for (const std::string& error : errors) text += " " + error + ";";
  text.pop_back();
  throw OwnershipSettingsError(text);
}

}  // namespace dogwoodport
