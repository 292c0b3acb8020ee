#include "dogwoodport/fleet/requests/quarantine.h"

#include <algorithm>
#include <array>

namespace dogwoodport::fleet {
namespace {

constexpr std::array<const char*, 4> kKindNames = {"losses", "reported", "answered", "expired"};

/// A quarantine with less remaining time is not adopted from a report. Otherwise two instances
/// whose clocks differ would keep extending it for each other.
constexpr std::uint32_t kMinAdoptedMs = 1'000;
/// Maximum number of attempts without a response that are stored.
constexpr std::size_t kMaxUnanswered = 4'096;

std::uint64_t HashOfIncarnation(const std::string& target, std::uint64_t incarnation) {
  return dogwoodport::detail::HashText(target + "\n" + std::to_string(incarnation));
}

/// Appends the updates that are not older than `update_resend_duration`, newest first, up to
/// `max_count`.
template <typename Updates, typename T>
void AppendRecentUpdates(const Updates& updates, TimePoint now, Duration update_resend_duration,
                         std::size_t max_count, std::vector<T>& result) {
  std::size_t n = 0;
  for (auto it = updates.rbegin(); it != updates.rend() && n < max_count; ++it, ++n) {
    if (now - it->at > update_resend_duration) break;
    result.push_back(it->value);
  }
}

template <typename Updates>
void DropOldUpdates(Updates& updates, TimePoint now, Duration update_resend_duration) {
  while (!updates.empty() && now - updates.front().at > update_resend_duration) updates.pop_front();
}

}  // namespace

const char* NameOf(QuarantineChange::Kind kind) noexcept {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::optional<Duration> Quarantine::RemainingTime(Fingerprint fingerprint, TimePoint now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || !it->second.quarantined) return std::nullopt;
  const Duration remaining = it->second.quarantined_until - now;
  return remaining > Duration{0} ? std::optional(remaining) : std::nullopt;
}

void Quarantine::OnConnectionLost(Fingerprint fingerprint, const std::string& target,
                                  std::uint64_t incarnation, TimePoint sent_at, TimePoint now) {
  const TargetLoss loss{fingerprint, HashOfIncarnation(target, incarnation)};
  const TimePoint broken_at = first_break_at_.try_emplace(loss.target, now).first->second;
  if (broken_at < sent_at && now - broken_at <= settings_.loss_detection_window) return;
  losses_.push_back({now, loss});
  RecordLoss(loss, now);
}

void Quarantine::OnNoResponse(Fingerprint fingerprint, const std::string& target,
                              std::uint64_t incarnation, TimePoint sent_at, TimePoint now) {
  const auto lost = lost_at_.find(target);
  if (lost != lost_at_.end() && lost->second >= sent_at) {
    OnConnectionLost(fingerprint, target, incarnation, sent_at, now);
    return;
  }
  if (unanswered_.size() >= kMaxUnanswered) unanswered_.pop_front();
  unanswered_.push_back({fingerprint, target, incarnation, sent_at, now});
}

void Quarantine::OnTargetLost(const std::string& target, TimePoint now) {
  lost_at_[target] = now;
  std::vector<UnansweredAttempt> lost;
  for (auto it = unanswered_.begin(); it != unanswered_.end();) {
    if (it->target != target) {
      ++it;
      continue;
    }
    if (now - it->at <= settings_.loss_detection_window) lost.push_back(*it);
    it = unanswered_.erase(it);
  }
  for (const UnansweredAttempt& it : lost) {
    OnConnectionLost(it.fingerprint, it.target, it.incarnation, it.sent_at, now);
  }
}

void Quarantine::OnResponse(Fingerprint fingerprint, const std::string& target,
                            std::uint64_t incarnation, TimePoint now) {
  if (!first_break_at_.empty()) first_break_at_.erase(HashOfIncarnation(target, incarnation));
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return;
  // A response is reported again only after half of the immunity time.
  if (it->second.cleared_at && now - *it->second.cleared_at < settings_.immunity_time / 2) return;
  responses_.push_back({now, fingerprint});
  ClearSuspicion(fingerprint, now);
}

void Quarantine::RecordLoss(const TargetLoss& loss, TimePoint now) {
  const auto entry = suspects_.find(loss.fingerprint);
  if (entry == suspects_.end() && !HasCapacity()) return;
  Suspect& suspect = entry == suspects_.end() ? suspects_[loss.fingerprint] : entry->second;
  if (suspect.cleared_at && now - *suspect.cleared_at <= settings_.immunity_time) return;
  if (!suspect.losses.try_emplace(loss.target, now).second || suspect.quarantined) return;
  const auto recent_losses =
      std::count_if(suspect.losses.begin(), suspect.losses.end(),
                    [&](const auto& it) { return now - it.second <= settings_.loss_window; });
  const bool on_probation = now < suspect.probation_until;
  if (!on_probation && static_cast<std::size_t>(recent_losses) < settings_.max_losses) return;
  EnterQuarantine(loss.fingerprint, suspect, settings_.quarantine_duration,
                  QuarantineChange::Kind::kLosses, now);
}

void Quarantine::ClearSuspicion(Fingerprint fingerprint, TimePoint now) {
  if (suspects_.count(fingerprint) == 0 && !HasCapacity()) return;
  Suspect& suspect = suspects_[fingerprint];
  suspect.losses.clear();
  suspect.cleared_at = now;
  suspect.probation_until = TimePoint{};
  if (suspect.quarantined) LeaveQuarantine(fingerprint, suspect, QuarantineChange::Kind::kAnswered);
}

void Quarantine::EnterQuarantine(Fingerprint fingerprint, Suspect& suspect, Duration duration,
                                 QuarantineChange::Kind reason, TimePoint now) {
  suspect.quarantined = true;
  suspect.quarantined_at = now;
  suspect.quarantined_until = now + duration;
  suspect.probation_until = suspect.quarantined_until + settings_.quarantine_duration;
  ++quarantined_;
  changes_.push_back({reason, fingerprint, suspect.losses.size()});
}

void Quarantine::LeaveQuarantine(Fingerprint fingerprint, Suspect& suspect,
                                 QuarantineChange::Kind reason) {
  suspect.quarantined = false;
  --quarantined_;
  changes_.push_back({reason, fingerprint, suspect.losses.size()});
}

QuarantineReport Quarantine::MakeReport(TimePoint now) const {
  QuarantineReport report;
  AppendRecentUpdates(losses_, now, settings_.update_resend_duration, settings_.max_updates,
                      report.losses);
  AppendRecentUpdates(responses_, now, settings_.update_resend_duration, settings_.max_updates,
                      report.responded);
  if (!any_quarantined()) return report;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (!suspect.quarantined || now >= suspect.quarantined_until) continue;
    const auto remaining = (suspect.quarantined_until - now).count() / 1000;
    report.quarantined.push_back({fingerprint, static_cast<std::uint32_t>(remaining)});
    if (report.quarantined.size() == settings_.max_updates) break;
  }
  return report;
}

QuarantineReport Quarantine::MakeDigest(TimePoint now) const {
  QuarantineReport report = MakeReport(now);
  // The instances of a large fleet need only the resulting quarantine.
  report.losses.clear();
  AppendRecentUpdates(peer_responses_, now, settings_.update_resend_duration, settings_.max_updates,
                      report.responded);
  return report;
}

void Quarantine::OnReport(const QuarantineReport& report, TimePoint now) {
  for (const Fingerprint it : report.responded) {
    const auto entry = suspects_.find(it);
    const bool is_new = entry == suspects_.end() || !entry->second.cleared_at ||
                        now - *entry->second.cleared_at > settings_.update_resend_duration;
    if (!is_new) continue;
    peer_responses_.push_back({now, it});
    ClearSuspicion(it, now);
  }
  for (const TargetLoss& it : report.losses) {
    // Each update is received several times. Only a loss that is not recorded yet marks the target
    // as broken, because the target may have responded since the first time.
    const auto entry = suspects_.find(it.fingerprint);
    const bool is_new = entry == suspects_.end() || entry->second.losses.count(it.target) == 0;
    if (is_new) first_break_at_.try_emplace(it.target, now);
    RecordLoss(it, now);
  }
  for (const QuarantinedRequest& it : report.quarantined) {
    if (it.remaining_ms < kMinAdoptedMs) continue;
    if (suspects_.count(it.fingerprint) == 0 && !HasCapacity()) continue;
    Suspect& suspect = suspects_[it.fingerprint];
    const bool has_responded =
        suspect.cleared_at && now - *suspect.cleared_at <= settings_.immunity_time;
    if (suspect.quarantined || has_responded) continue;
    EnterQuarantine(it.fingerprint, suspect, std::chrono::milliseconds(it.remaining_ms),
                    QuarantineChange::Kind::kReported, now);
  }
}

void Quarantine::Restore(Fingerprint fingerprint, TimePoint now) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.quarantine_duration);
  OnReport({{}, {}, {{fingerprint, static_cast<std::uint32_t>(remaining.count())}}}, now);
}

bool Quarantine::MustRetain(const Suspect& suspect, TimePoint now) const {
  return suspect.quarantined || now < suspect.probation_until || !suspect.losses.empty() ||
         (suspect.cleared_at && now - *suspect.cleared_at <= settings_.immunity_time);
}

void Quarantine::Expire(TimePoint now) {
  while (!unanswered_.empty() && now - unanswered_.front().at > settings_.loss_detection_window) {
    unanswered_.pop_front();
  }
  const auto is_expired = [&](const auto& it) {
    return now - it.second > settings_.loss_detection_window;
  };
  std::erase_if(first_break_at_, is_expired);
  std::erase_if(lost_at_, is_expired);
  DropOldUpdates(losses_, now, settings_.update_resend_duration);
  DropOldUpdates(responses_, now, settings_.update_resend_duration);
  DropOldUpdates(peer_responses_, now, settings_.update_resend_duration);
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    std::erase_if(suspect.losses,
                  [&](const auto& loss) { return now - loss.second > settings_.loss_window; });
    if (suspect.quarantined && now >= suspect.quarantined_until) {
      LeaveQuarantine(it->first, suspect, QuarantineChange::Kind::kExpired);
    }
    it = MustRetain(suspect, now) ? std::next(it) : suspects_.erase(it);
  }
}

std::vector<Fingerprint> Quarantine::QuarantinedFor(Duration age, TimePoint now) const {
  std::vector<Fingerprint> result;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.quarantined && now - suspect.quarantined_at >= age) result.push_back(fingerprint);
  }
  return result;
}

}  // namespace dogwoodport::fleet
