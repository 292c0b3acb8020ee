#include "dogwoodport/fleet/requests/quarantine.h"

#include <algorithm>
#include <array>

namespace dogwoodport::fleet {
namespace {

constexpr std::array<const char*, 4> kKindNames = {"losses", "reported", "answered", "expired"};

/// Quarantines that end sooner are not taken over from a report, so that two instances whose clocks
/// differ do not prolong them in turn.
constexpr std::uint32_t kShortestTakenOverMs = 1'000;
/// Attempts without an answer that are remembered.
constexpr std::size_t kMostSilent = 4'096;

std::uint64_t HashOfIncarnation(const std::string& target, std::uint64_t incarnation) {
  return dogwoodport::detail::HashText(target + "\n" + std::to_string(incarnation));
}

/// Appends what is news at `now`, the newest first, `most` at most.
template <typename News, typename T>
void AppendNews(const News& news, TimePoint now, Duration news_time, std::size_t most,
                std::vector<T>& result) {
  std::size_t n = 0;
  for (auto it = news.rbegin(); it != news.rend() && n < most; ++it, ++n) {
    if (now - it->at > news_time) break;
    result.push_back(it->what);
  }
}

template <typename News>
void DropOldNews(News& news, TimePoint now, Duration news_time) {
  while (!news.empty() && now - news.front().at > news_time) news.pop_front();
}

}  // namespace

const char* NameOf(QuarantineChange::Kind kind) noexcept {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::optional<Duration> Quarantine::TimeLeft(Fingerprint fingerprint, TimePoint now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || !it->second.quarantined) return std::nullopt;
  const Duration left = it->second.quarantined_until - now;
  return left > Duration{0} ? std::optional(left) : std::nullopt;
}

void Quarantine::OnBroken(Fingerprint fingerprint, const std::string& target,
                          std::uint64_t incarnation, TimePoint sent_at, TimePoint now) {
  const TargetLoss loss{fingerprint, HashOfIncarnation(target, incarnation)};
  const TimePoint broken_at = broken_at_.try_emplace(loss.target, now).first->second;
  if (broken_at < sent_at && now - broken_at <= settings_.silence_window) return;
  losses_.push_back({now, loss});
  AddLoss(loss, now);
}

void Quarantine::OnSilent(Fingerprint fingerprint, const std::string& target,
                          std::uint64_t incarnation, TimePoint sent_at, TimePoint now) {
  const auto lost = lost_at_.find(target);
  if (lost != lost_at_.end() && lost->second >= sent_at) {
    OnBroken(fingerprint, target, incarnation, sent_at, now);
    return;
  }
  if (silent_.size() >= kMostSilent) silent_.pop_front();
  silent_.push_back({fingerprint, target, incarnation, sent_at, now});
}

void Quarantine::OnTargetLost(const std::string& target, TimePoint now) {
  lost_at_[target] = now;
  std::vector<Silent> lost;
  for (auto it = silent_.begin(); it != silent_.end();) {
    if (it->target != target) {
      ++it;
      continue;
    }
    if (now - it->at <= settings_.silence_window) lost.push_back(*it);
    it = silent_.erase(it);
  }
  for (const Silent& it : lost) {
    OnBroken(it.fingerprint, it.target, it.incarnation, it.sent_at, now);
  }
}

void Quarantine::OnAnswered(Fingerprint fingerprint, const std::string& target,
                            std::uint64_t incarnation, TimePoint now) {
  if (!broken_at_.empty()) broken_at_.erase(HashOfIncarnation(target, incarnation));
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return;
  // Once told, an answer is told again only when it has become doubtful.
  if (it->second.answered_at && now - *it->second.answered_at < settings_.answered_time / 2) return;
  answers_.push_back({now, fingerprint});
  Clear(fingerprint, now);
}

void Quarantine::AddLoss(const TargetLoss& loss, TimePoint now) {
  const auto known = suspects_.find(loss.fingerprint);
  if (known == suspects_.end() && !HasRoom()) return;
  Suspect& suspect = known == suspects_.end() ? suspects_[loss.fingerprint] : known->second;
  if (suspect.answered_at && now - *suspect.answered_at <= settings_.answered_time) return;
  if (!suspect.losses.try_emplace(loss.target, now).second || suspect.quarantined) return;
  const auto recent =
      std::count_if(suspect.losses.begin(), suspect.losses.end(),
                    [&](const auto& it) { return now - it.second <= settings_.loss_window; });
  const bool on_probation = now < suspect.probation_until;
  if (!on_probation && static_cast<std::size_t>(recent) < settings_.most_losses) return;
  Enter(loss.fingerprint, suspect, settings_.quarantine_time, QuarantineChange::Kind::kLosses, now);
}

void Quarantine::Clear(Fingerprint fingerprint, TimePoint now) {
  if (suspects_.count(fingerprint) == 0 && !HasRoom()) return;
  Suspect& suspect = suspects_[fingerprint];
  suspect.losses.clear();
  suspect.answered_at = now;
  suspect.probation_until = TimePoint{};
  if (suspect.quarantined) Leave(fingerprint, suspect, QuarantineChange::Kind::kAnswered);
}

void Quarantine::Enter(Fingerprint fingerprint, Suspect& suspect, Duration span,
                       QuarantineChange::Kind reason, TimePoint now) {
  suspect.quarantined = true;
  suspect.quarantined_at = now;
  suspect.quarantined_until = now + span;
  suspect.probation_until = suspect.quarantined_until + settings_.quarantine_time;
  ++quarantined_;
  changes_.push_back({reason, fingerprint, suspect.losses.size()});
}

void Quarantine::Leave(Fingerprint fingerprint, Suspect& suspect, QuarantineChange::Kind reason) {
  suspect.quarantined = false;
  --quarantined_;
  changes_.push_back({reason, fingerprint, suspect.losses.size()});
}

QuarantineReport Quarantine::MakeReport(TimePoint now) const {
  QuarantineReport report;
  AppendNews(losses_, now, settings_.news_time, settings_.most_news, report.losses);
  AppendNews(answers_, now, settings_.news_time, settings_.most_news, report.answered);
  if (!any_quarantined()) return report;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (!suspect.quarantined || now >= suspect.quarantined_until) continue;
    const auto left = (suspect.quarantined_until - now).count() / 1000;
    report.quarantined.push_back({fingerprint, static_cast<std::uint32_t>(left)});
    if (report.quarantined.size() == settings_.most_news) break;
  }
  return report;
}

QuarantineReport Quarantine::MakeDigest(TimePoint now) const {
  QuarantineReport report = MakeReport(now);
  // The instances of a large fleet only need the conclusion.
  report.losses.clear();
  AppendNews(reported_answers_, now, settings_.news_time, settings_.most_news, report.answered);
  return report;
}

void Quarantine::OnReport(const QuarantineReport& report, TimePoint now) {
  for (const Fingerprint it : report.answered) {
    const auto known = suspects_.find(it);
    const bool is_new = known == suspects_.end() || !known->second.answered_at ||
                        now - *known->second.answered_at > settings_.news_time;
    if (!is_new) continue;
    reported_answers_.push_back({now, it});
    Clear(it, now);
  }
  for (const TargetLoss& it : report.losses) {
    // News come several times; the target may have answered since it was first told.
    const auto known = suspects_.find(it.fingerprint);
    const bool is_new = known == suspects_.end() || known->second.losses.count(it.target) == 0;
    if (is_new) broken_at_.try_emplace(it.target, now);
    AddLoss(it, now);
  }
  for (const QuarantinedRequest& it : report.quarantined) {
    if (it.left_ms < kShortestTakenOverMs) continue;
    if (suspects_.count(it.fingerprint) == 0 && !HasRoom()) continue;
    Suspect& suspect = suspects_[it.fingerprint];
    const bool answered =
        suspect.answered_at && now - *suspect.answered_at <= settings_.answered_time;
    if (suspect.quarantined || answered) continue;
    Enter(it.fingerprint, suspect, std::chrono::milliseconds(it.left_ms),
          QuarantineChange::Kind::kReported, now);
  }
}

void Quarantine::Restore(Fingerprint fingerprint, TimePoint now) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.quarantine_time);
  OnReport({{}, {}, {{fingerprint, static_cast<std::uint32_t>(left.count())}}}, now);
}

bool Quarantine::IsNeeded(const Suspect& suspect, TimePoint now) const {
  return suspect.quarantined || now < suspect.probation_until || !suspect.losses.empty() ||
         (suspect.answered_at && now - *suspect.answered_at <= settings_.answered_time);
}

void Quarantine::Expire(TimePoint now) {
  while (!silent_.empty() && now - silent_.front().at > settings_.silence_window) {
    silent_.pop_front();
  }
  const auto is_past = [&](const auto& it) { return now - it.second > settings_.silence_window; };
  std::erase_if(broken_at_, is_past);
  std::erase_if(lost_at_, is_past);
  DropOldNews(losses_, now, settings_.news_time);
  DropOldNews(answers_, now, settings_.news_time);
  DropOldNews(reported_answers_, now, settings_.news_time);
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    std::erase_if(suspect.losses,
                  [&](const auto& loss) { return now - loss.second > settings_.loss_window; });
    if (suspect.quarantined && now >= suspect.quarantined_until) {
      Leave(it->first, suspect, QuarantineChange::Kind::kExpired);
    }
    it = IsNeeded(suspect, now) ? std::next(it) : suspects_.erase(it);
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
