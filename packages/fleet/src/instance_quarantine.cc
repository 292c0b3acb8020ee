// Logging of quarantined requests, and maintenance of their record in the store.

#include <charconv>
#include <utility>

#include "dogwoodport/fleet/instance.h"

namespace dogwoodport::fleet {
namespace {

/// Time in quarantine before a request is recorded. Until then, a response to it may release it.
constexpr Duration kRecordDelay{1'000'000};

std::optional<Fingerprint> ReadFingerprint(const std::string& text) {
  Fingerprint value = 0;
  const char* const end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, value, 16);
  return ec == std::errc() && at == end ? std::optional(value) : std::nullopt;
}

}  // namespace

void Instance::LogQuarantine() {
  for (const QuarantineChange& it : view_.quarantine.TakeChanges()) {
    urgent_update_pending_ = true;
    log_.Write(LogLevel::kWarning, "quarantine_changed",
               {{"fingerprint", ToText(it.fingerprint)},
                {"change", NameOf(it.kind)},
                {"losses", it.losses}});
  }
}

void Instance::MaintainQuarantine() {
  const TimePoint now = loop_.now();
  view_.quarantine.Expire(now);
  if (!coordinator_.leading()) {
    recorded_quarantine_.clear();
    quarantine_read_ = false;
    return;
  }
  if (!quarantine_read_) {
    ReadQuarantine();
    return;
  }
  std::set<Fingerprint> ended = recorded_quarantine_;
  for (const Fingerprint it : view_.quarantine.QuarantinedFor(Duration{0}, now)) ended.erase(it);
  for (const Fingerprint it : ended) RecordQuarantine(it, false);
  for (const Fingerprint it : view_.quarantine.QuarantinedFor(kRecordDelay, now)) {
    if (recorded_quarantine_.count(it) == 0) RecordQuarantine(it, true);
  }
}

void Instance::ReadQuarantine() {
  store_.ReadNewest(Feed::kQuarantine, [this](const ReadOutcome& outcome) {
    const auto* const records = std::get_if<StoreRecords>(&outcome);
    if (records == nullptr) return;  // Retried at the next maintenance.
    quarantine_read_ = true;
    for (const StoreRecord& it : records->records) {
      if (!it.value) continue;
      const auto fingerprint = ReadFingerprint(it.key);
      if (!fingerprint) {
        log_.Write(LogLevel::kWarning, "quarantine_entry_unusable", {{"key", it.key}});
        continue;
      }
      recorded_quarantine_.insert(*fingerprint);
      view_.quarantine.Restore(*fingerprint, loop_.now());
    }
  });
}

void Instance::RecordQuarantine(Fingerprint fingerprint, bool quarantined) {
  const auto set = [this, fingerprint](bool recorded) {
    if (recorded) {
      recorded_quarantine_.insert(fingerprint);
    } else {
      recorded_quarantine_.erase(fingerprint);
    }
  };
  set(quarantined);
  const std::string value =
      quarantined ? nlohmann::json{{"instance", settings_.peer_address}}.dump() : std::string();
  store_.Append(Feed::kQuarantine, ToText(fingerprint), value, std::nullopt,
                [this, fingerprint, quarantined, set](const AppendOutcome& outcome) {
                  if (std::holds_alternative<Appended>(outcome)) return;
                  log_.Write(LogLevel::kWarning, "quarantine_not_recorded",
                             {{"fingerprint", ToText(fingerprint)}, {"quarantined", quarantined}});
                  set(!quarantined);  // Retried at the next maintenance.
                });
}

}  // namespace dogwoodport::fleet
