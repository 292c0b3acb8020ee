#include "dogwoodport/client/detail/command.h"

#include <ctime>

#include "dogwoodport/core/config_reader.h"

namespace dogwoodport::detail {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr Duration kPollInterval{100'000};

const char* OutcomeText(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
      return "applied";
    case ApplyOutcome::kStale:
      return "stale";
    case ApplyOutcome::kRepeated:
      return "repeated";
    case ApplyOutcome::kRefused:
      break;
  }
  return "refused";
}

std::string FormatTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return buf.data();
}

/// Returns the value at `pointer`, or null.
json ValueAt(const json& document, const std::string& pointer) {
  const json::json_pointer path(pointer);
  return document.contains(path) ? document.at(path) : json();
}

}  // namespace

LogService& CommandContext::Log() {
  if (log_ == nullptr) log_ = env.open_log(settings);
  return *log_;
}

LogView& CommandContext::View() {
  if (view_ == nullptr) view_ = std::make_unique<LogView>(Log(), env.timer.UnixMs());
  return *view_;
}

InstanceClient& CommandContext::Instances() {
  if (instances_ == nullptr) instances_ = env.open_instances(settings);
  return *instances_;
}

std::string CommandContext::RequiredOption(const std::string& option) const {
  std::string value = options.count(option) > 0 ? options[option].as<std::string>() : "";
  if (value.find_first_not_of(" \t\n") == std::string::npos) {
    throw ClientError(ExitStatus::kUsage, "--" + option + " is required");
  }
  return value;
}

void CommandContext::ReportUnchanged(const std::string& explanation) const {
  PrintResult({{"result", "unchanged"}, {"detail", explanation}});
}

Record CommandContext::MakeRecord(RecordBody body) const {
  Record record;
  // Each command has its own writer identifier, so that concurrent commands of one operator do not
  // make each other stale.
  record.writer = InstanceId{env.random()};
  record.incarnation = Incarnation{1};
  record.sequence = 1;
  record.actor = settings.actor;
  record.reason = RequiredOption("reason");
  record.time_ms = env.timer.UnixMs();
  record.body = std::move(body);
  return record;
}

void CommandContext::PublishChange(RecordBody body) {
  const Record record = MakeRecord(std::move(body));
  const std::uint64_t base = State().next_offset();
  const std::string base_document = State().document();
  Publisher publisher(Log(), View(), env.timer, env.err, settings.log_retry_timeout);
  const Publication publication = publisher.Publish(record);
  if (publication.outcome == ApplyOutcome::kStale) ThrowConflict(publication, base, base_document);
  if (publication.outcome != ApplyOutcome::kApplied) {
    throw ClientError(ExitStatus::kFailed, "refused: " + publication.detail);
  }
  env.err << "accepted at offset " << publication.offset << "\n";
  const std::vector<std::string> pending = AwaitInForce(publication.offset);
  PrintResult({{"result", "accepted"},
               {"offset", publication.offset},
               {"in_force_on", settings.instances.size() - pending.size()},
               {"instances", settings.instances.size()},
               {"not_confirmed", pending}});
}

void CommandContext::ThrowConflict(const Publication& publication, std::uint64_t base,
                                   const std::string& base_document) {
  std::vector<AuditEntry> other_changes;
  for (const AuditEntry& entry : State().audit()) {
    const bool between = entry.offset >= base && entry.offset < publication.offset;
    if (between && entry.outcome == ApplyOutcome::kApplied) other_changes.push_back(entry);
  }
  env.err << "changes by others since this command read the log:\n";
  PrintResult(DescribeAudit(other_changes));
  if (State().document() != base_document) {
    env.err << "changes by others to the configuration:\n";
    PrintResult(DescribeDifference(json::parse(base_document.empty() ? "{}" : base_document),
                                   CurrentDocument(State())));
  }
  throw ClientError(
      ExitStatus::kConflict,
      "another change took effect first (" + publication.detail + "); this change was not applied");
}

std::vector<std::string> CommandContext::AwaitInForce(std::uint64_t offset) {
  std::vector<std::string> pending;
  for (const InstanceAddress& instance : settings.instances) pending.push_back(instance.name);
  const TimePoint deadline = env.timer.Now() + settings.confirmation_timeout;
  while (true) {
    const std::size_t pending_before = pending.size();
    for (const InstanceAddress& instance : settings.instances) {
      const auto it = std::find(pending.begin(), pending.end(), instance.name);
      if (it == pending.end()) continue;
      try {
        const ordered_json page = Instances().Get(instance, "/-/status");
        // `log_offset` is the offset of the first record that the instance has not applied.
        if (page.value("log_offset", std::uint64_t{0}) > offset) pending.erase(it);
      } catch (const std::exception&) {
        // An instance that is unreachable or sends an invalid page has not confirmed the change.
      }
    }
    if (pending.size() < pending_before) {
      env.err << "in force on " << settings.instances.size() - pending.size() << " of "
              << settings.instances.size() << " instances\n";
    }
    if (pending.empty() || env.timer.Now() >= deadline || !env.timer.Sleep(kPollInterval)) break;
  }
  for (const std::string& name : pending) env.err << "not confirmed by " << name << "\n";
  return pending;
}

void DefineReason(cxxopts::Options& options) {
  options.add_options()("reason", "reason for the change, recorded in the audit (required)",
                        cxxopts::value<std::string>(), "TEXT");
}

ordered_json DescribeDifference(const json& from, const json& to) {
  ordered_json rows = ordered_json::array();
  json current = from;
  for (const json& operation : json::diff(from, to)) {
    if (rows.size() == kMaxDifferences) {
      rows.push_back(
          {{"op", "more"}, {"path", "(not listed)"}, {"from", nullptr}, {"to", nullptr}});
      break;
    }
    const std::string path = operation["path"].get<std::string>();
    const bool has_old = operation["op"] != "add";
    rows.push_back({{"op", operation["op"]},
                    {"path", path},
                    {"from", has_old ? ordered_json(ValueAt(current, path)) : ordered_json()},
                    {"to", ordered_json(operation.value("value", json()))}});
    // The paths of later operations refer to the document after this operation.
    current = current.patch(json::array({operation}));
  }
  return rows;
}

ordered_json DescribeAudit(std::span<const AuditEntry> entries) {
  ordered_json rows = ordered_json::array();
  for (const AuditEntry& entry : entries) {
    rows.push_back({{"offset", entry.offset},
                    {"time", FormatTime(entry.time_ms)},
                    {"actor", entry.actor},
                    {"what", entry.what},
                    {"from", entry.from},
                    {"to", entry.to},
                    {"reason", entry.reason},
                    {"outcome", OutcomeText(entry.outcome)},
                    {"detail", entry.detail}});
  }
  return rows;
}

void CheckDocument(const CommandContext& context, const json& document) {
  try {
    ReadConfig(document, context.env.timer.UnixMs());
  } catch (const ConfigError& e) {
    ordered_json rows = ordered_json::array();
    for (const ConfigFault& fault : e.faults()) {
      const bool is_secret = fault.pointer.find("/secrets") != std::string::npos;
      rows.push_back({{"pointer", fault.pointer},
                      {"value", is_secret ? "(hidden)" : fault.value},
                      {"expected", fault.expectation}});
    }
    context.PrintResult(rows);
    throw ClientError(ExitStatus::kFailed,
                      "the document has " + std::to_string(rows.size()) + " fault(s)");
  }
}

json CurrentDocument(const ControlState& state) {
  return state.document().empty() ? json::object() : json::parse(state.document());
}

}  // namespace dogwoodport::detail
