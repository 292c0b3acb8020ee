#include "dogwoodport/core/slow_group_detector.h"

#include <algorithm>
#include <cmath>

namespace dogwoodport {
namespace {

/// Minimum baseline latency. Below it, scheduling jitter alone makes a response of 0.1 ms five
/// times slower, and a target wrongly considered slow receives requests only after a wait.
constexpr double kMinBaselineUs = 1'000;

// Event counts are halved when they reach this number, so that groups that no longer exist expire.
constexpr std::uint16_t kMaxEvents = 16;
// Latency of a single response in multiples of the mean is clamped to this value, because a frozen
// client or a long query says little about the target.
constexpr double kMaxRatio = 6.0;

// Decay per tick of 10 ms; without new responses, the suspicion halves in about 1 s.
constexpr double kDecay = 0.993;

// Decay per tick, which halves the evidence of other instances in about 100 ms. It is fast because
// that evidence refers to attempts in progress.
constexpr double kPeerDecay = 0.93;
// Minimum increase of the evidence that is sent to the other instances.
constexpr double kMinEvidence = 1.0;

double Clamp(double ratio) noexcept { return std::min(ratio, kMaxRatio); }

}  // namespace

void SlowGroupDetector::Resize(std::size_t n) {
  if (n <= size_) return;
  std::vector<std::uint16_t> common(n * n, 0);
  for (std::size_t i = 0; i < size_; ++i) {
    std::copy_n(common_.begin() + static_cast<std::ptrdiff_t>(i * size_), size_,
                common.begin() + static_cast<std::ptrdiff_t>(i * n));
  }
  common_ = std::move(common);
  events_.resize(n, 0);
  last_event_.resize(n, TimePoint::min());
  size_ = n;
}

double SlowGroupDetector::GroupConfidence(std::size_t target, std::size_t other) const noexcept {
  if (target >= size_ || other >= size_ || events_[target] < settings_.group_events) return 0;
  return static_cast<double>(common_[target * size_ + other]) / events_[target];
}

void SlowGroupDetector::RecordEvent(TimePoint now, const TargetTable& table, std::size_t index) {
  Resize(table.rows().size());
  if (++events_[index] >= kMaxEvents) {
    events_[index] /= 2;
    for (std::size_t j = 0; j < size_; ++j) common_[index * size_ + j] /= 2;
  }
  last_event_[index] = now;
  for (std::size_t j = 0; j < size_; ++j) {
    if (j == index || last_event_[j] == TimePoint::min()) continue;
    if (now - last_event_[j] > settings_.co_occurrence) continue;
    ++common_[index * size_ + j];
    ++common_[j * size_ + index];
  }
}

void SlowGroupDetector::MarkGroupAtRisk(TimePoint now, TargetTable& table, std::size_t index) {
  for (std::size_t j = 0; j < table.rows().size(); ++j) {
    TargetRow& row = table.rows()[j];
    if (row.slow != SlowState::kNormal) continue;
    if (GroupConfidence(index, j) < settings_.group_confidence) continue;
    row.slow = SlowState::kAtRisk;
    row.hold_until = now + settings_.risk_time;
  }
}

bool SlowGroupDetector::MayEject(const TargetTable& table, const ServiceRow& service) const {
  std::uint32_t ejected = service.ejected_elsewhere;
  for (const std::size_t i : service.targets) {
    ejected += table.rows()[i].slow == SlowState::kEjected ? 1 : 0;
  }
  return ejected + 1 <= settings_.max_ejected * service.fleet_targets;
}

void SlowGroupDetector::MarkSlow(TimePoint now, TargetTable& table, std::size_t index) {
  TargetRow& row = table.rows()[index];
  if (row.slow >= SlowState::kSlow) return;
  const bool flapping = row.ejection.count() > 0 && now < row.recovered + settings_.flap_window;
  row.ejection =
      flapping ? std::min(row.ejection * 2, settings_.max_ejection) : settings_.min_ejection;
  const bool eject = MayEject(table, table.services()[row.service]);
  row.slow = eject ? SlowState::kEjected : SlowState::kSlow;
  row.hold_until = now + row.ejection;
  row.fast_probes = 0;
  row.suspicion = 0;
  row.evidence = 0;
  row.peer_evidence = 0;
  row.changed = true;
  ++row.slow_episode;
  RecordEvent(now, table, index);
  MarkGroupAtRisk(now, table, index);
}

void SlowGroupDetector::OnLatency(TimePoint now, TargetTable& table, std::size_t index,
                                  double latency_us) {
  TargetRow& row = table.rows()[index];
  ServiceRow& service = table.services()[row.service];
  // Moving average over about ten responses, initialised with the first one.
  row.latency_us += (latency_us - row.latency_us) * (row.latency_us == 0 ? 1.0 : 0.1);
  if (service.baseline_us == 0) service.baseline_us = std::max(latency_us, kMinBaselineUs);
  const double ratio = Clamp(latency_us / service.baseline_us);
  if (row.slow >= SlowState::kSlow || (row.cold && row.ramp.ramping())) return;
  // Within a few hundred responses, the baseline adapts to the latency of targets that are not
  // slow.
  ++service.samples;
  const double weight = std::max(0.005, 1.0 / static_cast<double>(service.samples));
  service.baseline_us += (ratio * service.baseline_us - service.baseline_us) * weight;
  service.baseline_us = std::max(service.baseline_us, kMinBaselineUs);
  const double gain = (1.0 - 1.0 / settings_.slowdown) * ratio - std::log(settings_.slowdown);
  row.suspicion = std::max(0.0, row.suspicion + gain);
  if (row.suspicion > settings_.threshold) MarkSlow(now, table, index);
}

void SlowGroupDetector::OnPeerState(TimePoint now, TargetTable& table, std::size_t index,
                                    SlowState state, std::uint32_t episode) {
  TargetRow& row = table.rows()[index];
  // Ignores an episode that has already ended here; other instances may end it later and still
  // report it.
  if (state < SlowState::kSlow || episode <= row.slow_episode) return;
  MarkSlow(now, table, index);
  row.slow_episode = episode;
  row.changed = false;
}

void SlowGroupDetector::OnPeerEvidence(TargetRow& row, double increase) noexcept {
  if (row.slow < SlowState::kSlow) row.peer_evidence += increase;
}

double SlowGroupDetector::TakeUnsentEvidence(TargetRow& row) noexcept {
  const double increase = row.evidence - row.sent_evidence;
  if (increase < kMinEvidence) return 0;
  row.sent_evidence = row.evidence;
  return increase;
}

bool SlowGroupDetector::OnProbe(TimePoint now, TargetTable& table, std::size_t index,
                                double latency_us) {
  TargetRow& row = table.rows()[index];
  if (row.slow < SlowState::kSlow) {
    probe_us_ += (latency_us - probe_us_) * (probe_us_ == 0 ? 1.0 : 0.02);
    return false;
  }
  const bool fast = probe_us_ == 0 || latency_us < settings_.fast_probe_factor * probe_us_;
  row.fast_probes = fast ? row.fast_probes + 1 : 0;
  // Probes may be slow although requests are not, so the ejection ends after a maximum time even
  // without fast probes.
  const bool overdue = now >= row.hold_until + settings_.max_ejection;
  if ((row.fast_probes < settings_.fast_probes && !overdue) || now < row.hold_until) return false;
  Recover(now, row);
  return true;
}

void SlowGroupDetector::Recover(TimePoint now, TargetRow& row) {
  row.slow = SlowState::kNormal;
  row.recovered = now;
  row.suspicion = 0;
  row.latency_us = 0;
  row.changed = true;
}

void SlowGroupDetector::Tick(TimePoint now, TargetTable& table) {
  const double credit = std::log(settings_.slowdown);
  const double weight = 1.0 - 1.0 / settings_.slowdown;
  for (std::size_t i = 0; i < table.rows().size(); ++i) {
    TargetRow& row = table.rows()[i];
    if (row.slow == SlowState::kAtRisk && now >= row.hold_until) row.slow = SlowState::kNormal;
    const double baseline = table.services()[row.service].baseline_us;
    if (row.slow >= SlowState::kSlow || baseline == 0) continue;
    if (row.cold && row.ramp.ramping()) continue;
    row.suspicion *= kDecay;
    double evidence = row.suspicion;
    for (const Attempt& attempt : row.attempts) {
      const auto age = static_cast<double>((now - attempt.started).count());
      // An attempt whose age is still typical contributes nothing until its response arrives. Later
      // attempts are younger, so the loop ends here.
      const double gain = weight * age / baseline - credit;
      if (gain <= 0) break;
      evidence += gain;
    }
    row.evidence = evidence;
    row.sent_evidence = std::min(row.sent_evidence, evidence);
    row.peer_evidence *= kPeerDecay;
    if (evidence > 0 && evidence + row.peer_evidence > settings_.threshold) MarkSlow(now, table, i);
  }
}

}  // namespace dogwoodport
