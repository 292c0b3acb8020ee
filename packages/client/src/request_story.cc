#include "dogwoodport/client/request_story.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace dogwoodport {
namespace {

using nlohmann::json;

/// State changes within this time before a decision are shown with it.
constexpr std::int64_t kLookbackMs = 5'000;
/// Maximum number of state changes kept per instance.
constexpr std::size_t kMaxStateChanges = 4'096;

/// An event that records a state change of an instance. It is relevant to a decision if `field` has
/// the same value in both log lines, or if `field` is empty.
struct StateChangeEvent {
  const char* event;
  const char* field;
  const char* text;
};

constexpr std::array<StateChangeEvent, 14> kStateChangeEvents = {{
    {"config_applied", "", "a new configuration took effect"},
    {"data_centres_withdrawn", "", "the set of withdrawn data centres changed"},
    {"account_limit_changed", "account", "the limits of the account changed"},
    {"target_changed", "target", "the recorded state of the target changed"},
    {"target_ejected", "target",
     "the target failed repeatedly and temporarily receives no requests"},
    {"store_lost", "", "the store does not respond"},
    {"store_regained", "", "the store responds again"},
    {"owners_changed", "", "the owners of keys changed"},
    {"quarantine_changed", "fingerprint", "a request entered or left the quarantine"},
    {"coordinator_started", "", "this instance became the coordinator"},
    {"coordinator_stopped", "", "this instance stopped being the coordinator"},
    {"started", "", "the instance started"},
    {"stopping", "", "the instance began to shut down"},
    {"settings_reloaded", "", "the settings were reloaded"},
}};

struct ReasonText {
  const char* reason;
  const char* text;
};

/// Reasons for which the router ends a request with an error response of its own.
constexpr std::array<ReasonText, 12> kReasons = {{
    {"no_configuration", "the instance had no configuration yet"},
    {"unknown_route", "no route of the configuration matches its host and path"},
    {"not_authorized", "its secret belongs to no client account"},
    {"stale_secrets",
     "the configuration was too old to tell whether its secret had been withdrawn"},
    {"malformed", "a required field is missing or malformed"},
    {"over_limit", "its client account was above its rate"},
    {"no_target", "no usable target was available for it"},
    {"overloaded",
     "all targets were full and its wait in the queue exceeded the time allowed for it"},
    {"timed_out", "its target did not respond within the timeout of the route or the caller"},
    {"target_failed", "the connection to its target was lost, and it could not be retried"},
    {"shutting_down", "the instance was shutting down"},
    {"quarantined", "several targets were lost while they ran the same request"},
}};

const StateChangeEvent* FindStateChange(const std::string& event) {
  const auto* const it =
      std::find_if(kStateChangeEvents.begin(), kStateChangeEvents.end(),
                   [&event](const StateChangeEvent& listed) { return event == listed.event; });
  return it == kStateChangeEvents.end() ? nullptr : it;
}

std::string DescribeReason(const json& fields) {
  const std::string reason = fields.value("reason", "");
  const auto* const it =
      std::find_if(kReasons.begin(), kReasons.end(),
                   [&reason](const ReasonText& text) { return reason == text.reason; });
  return it == kReasons.end() ? reason : it->text;
}

/// Returns the fields of `names` that are present as "name value, name value".
std::string FormatFields(const json& fields, std::initializer_list<const char*> names) {
  std::string out;
  for (const char* const name : names) {
    const auto it = fields.find(name);
    if (it == fields.end()) continue;
    if (!out.empty()) out += ", ";
    out += std::string(name) + " " + (it->is_string() ? it->get<std::string>() : it->dump());
  }
  return out;
}

std::string DescribeDecision(const std::string& event, const json& fields) {
  std::ostringstream out;
  const std::string target = fields.value("target", "");
  if (event == "refused") {
    out << "answered " << fields.value("status", 0) << ": " << DescribeReason(fields);
    const auto retry_ms = fields.value("retry_after_ms", std::int64_t{0});
    if (retry_ms > 0) out << "; retry after " << retry_ms << " ms";
  } else if (event == "attempt_failed") {
    out << "attempt at " << target << " failed: " << fields.value("failure", "") << ", "
        << (fields.value("may_have_run", false) ? "it may have run" : "it has not run");
  } else if (event == "attempt_timed_out") {
    out << "attempt at " << target << " timed out, "
        << (fields.value("may_have_run", false) ? "it may have run" : "it has not run");
  } else if (event == "not_run") {
    out << "target " << target << " answered " << fields.value("status", 0)
        << " without running it";
    if (fields.contains("connection")) out << ", on connection " << fields["connection"];
  } else if (event == "served" || event == "target_error") {
    out << "target " << target << " answered " << fields.value("status", 0);
  } else if (event == "foreign_answer") {
    out << "target " << target << " sent the response to another request, which was discarded";
  } else if (event == "abandoned") {
    out << "the caller closed its connection";
  } else {
    out << event;
  }
  return out.str();
}

}  // namespace

void RequestTimeline::Add(std::string_view line) {
  ++line_count_;
  const auto begin = line.find('{');
  json fields = begin == std::string_view::npos
                    ? json()
                    : json::parse(line.substr(begin), nullptr, /*allow_exceptions=*/false);
  const bool readable = fields.is_object() && fields.contains("time_ms") &&
                        fields["time_ms"].is_number_integer() && fields.contains("event") &&
                        fields["event"].is_string() && fields.contains("instance") &&
                        fields["instance"].is_string();
  if (!readable) {
    ++unreadable_lines_;
    return;
  }
  const auto instance = fields["instance"].get<std::string>();
  if (const auto it = fields.find("lines_dropped"); it != fields.end() && it->is_number()) {
    dropped_lines_[instance] += it->get<std::uint64_t>();
  }
  const bool names_request = fields.contains("request_id") && fields["request_id"] == request_id_;
  const auto event = fields["event"].get<std::string>();
  const bool is_state_change = FindStateChange(event) != nullptr;
  LogEntry entry{fields["time_ms"].get<std::int64_t>(), line_count_, std::move(fields)};
  if (names_request && event != "target_ejected") {
    decisions_.push_back(std::move(entry));
  } else if (is_state_change) {
    std::deque<LogEntry>& changes = state_changes_[instance];
    changes.push_back(std::move(entry));
    if (changes.size() > kMaxStateChanges) changes.pop_front();
  }
}

std::uint64_t RequestTimeline::dropped_lines() const {
  std::uint64_t n = 0;
  std::vector<std::string> counted;
  for (const LogEntry& it : decisions_) {
    const auto instance = it.fields["instance"].get<std::string>();
    if (std::find(counted.begin(), counted.end(), instance) != counted.end()) continue;
    counted.push_back(instance);
    const auto dropped_lines = dropped_lines_.find(instance);
    if (dropped_lines != dropped_lines_.end()) n += dropped_lines->second;
  }
  return n;
}

std::vector<const RequestTimeline::LogEntry*> RequestTimeline::StateChangesBefore(
    const LogEntry& decision) const {
  std::vector<const LogEntry*> result;
  const auto changes = state_changes_.find(decision.fields["instance"].get<std::string>());
  if (changes == state_changes_.end()) return result;
  for (const LogEntry& it : changes->second) {
    if (it.time_ms > decision.time_ms || it.time_ms < decision.time_ms - kLookbackMs) continue;
    const StateChangeEvent* const state_change =
        FindStateChange(it.fields["event"].get<std::string>());
    const std::string field = state_change->field;
    const bool relevant =
        field.empty() || (decision.fields.contains(field) &&
                          it.fields.value(field, json()) == decision.fields.value(field, json()));
    if (relevant) result.push_back(&it);
  }
  return result;
}

std::vector<TimelineEntry> RequestTimeline::Lines() const {
  std::vector<const LogEntry*> decisions;
  for (const LogEntry& it : decisions_) decisions.push_back(&it);
  const auto is_earlier = [](const LogEntry* a, const LogEntry* b) {
    return std::pair(a->time_ms, a->line_number) < std::pair(b->time_ms, b->line_number);
  };
  std::sort(decisions.begin(), decisions.end(), is_earlier);
  std::vector<const LogEntry*> shown;
  std::vector<TimelineEntry> lines;
  const auto add = [&lines](const LogEntry& it, std::string text, std::string basis) {
    lines.push_back({it.time_ms, it.fields["instance"].get<std::string>(),
                     it.fields["event"].get<std::string>(), std::move(text), std::move(basis)});
  };
  for (const LogEntry* const decision : decisions) {
    for (const LogEntry* const it : StateChangesBefore(*decision)) {
      if (std::find(shown.begin(), shown.end(), it) != shown.end()) continue;
      shown.push_back(it);
      const std::string details =
          FormatFields(it->fields, {"target", "change", "account", "from", "to", "rate_per_s",
                                    "burst", "data_centres", "feed", "reason", "generation",
                                    "revision", "fingerprint", "losses"});
      std::string text = FindStateChange(it->fields["event"].get<std::string>())->text;
      if (!details.empty()) text += " (" + details + ")";
      add(*it, std::move(text), "");
    }
    add(*decision, DescribeDecision(decision->fields["event"].get<std::string>(), decision->fields),
        FormatFields(decision->fields, {"age_ms", "sends", "route", "service", "account", "target",
                                        "config_version", "config_age_ms"}));
  }
  return lines;
}

const RequestTimeline::LogEntry* RequestTimeline::LastDecision(std::string_view event) const {
  const LogEntry* last = nullptr;
  for (const LogEntry& it : decisions_) {
    if (it.fields["event"] == event && (last == nullptr || it.time_ms >= last->time_ms)) last = &it;
  }
  return last;
}

std::string RequestTimeline::Cause() const {
  if (const LogEntry* const refused = LastDecision("refused")) {
    std::string cause = "It was answered " + std::to_string(refused->fields.value("status", 0)) +
                        " because " + DescribeReason(refused->fields) + ".";
    const bool sent = refused->fields.value("sends", 0) > 0;
    if (!sent) return cause + " No target has seen it.";
    const LogEntry* attempt = LastDecision("attempt_failed");
    if (attempt == nullptr) attempt = LastDecision("attempt_timed_out");
    if (attempt == nullptr) attempt = LastDecision("not_run");
    if (attempt != nullptr) {
      cause += " Before that, the " +
               DescribeDecision(attempt->fields["event"].get<std::string>(), attempt->fields) + ".";
    }
    return cause;
  }
  if (const LogEntry* const error = LastDecision("target_error")) {
    return "Its target " + error->fields.value("target", "") + " answered " +
           std::to_string(error->fields.value("status", 0)) + ".";
  }
  if (LastDecision("served") != nullptr) return "It was served.";
  if (LastDecision("abandoned") != nullptr) return "The caller disconnected before the response.";
  return "The log lines do not show its outcome; it may still be in progress, or the line was "
         "dropped.";
}

}  // namespace dogwoodport
