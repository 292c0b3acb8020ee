// Subcommands that show and change the configuration document and its exceptions.

#include <ctime>
#include <iomanip>
#include <istream>
#include <iterator>
#include <sstream>

#include "dogwoodport/client/detail/command.h"
#include "dogwoodport/core/config_reader.h"

namespace dogwoodport::detail {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

/// Reads the document from the file given by the first argument, or from the standard input for
/// "-".
json ReadDocument(const CommandContext& context) {
  const std::string& path = context.arguments[0];
  std::string text;
  if (path == "-") {
    text.assign(std::istreambuf_iterator<char>(context.env.in), {});
  } else {
    text = ReadFile(path);
  }
  try {
    return ParseConfigText(text);
  } catch (const ConfigError& e) {
    throw ClientError(ExitStatus::kFailed, path + ": " + e.what());
  }
}

void ShowConfig(CommandContext& context) {
  const std::uint64_t version = context.State().config()->version;
  const json document = CurrentDocument(context.State());
  if (context.format == OutputFormat::kJson) {
    context.PrintResult({{"version", version}, {"document", ordered_json(document)}});
    return;
  }
  // The output contains only the document, so that it can be edited and applied.
  context.env.err << "version " << version << "\n";
  context.env.out << document.dump(2) << "\n";
}

void CheckConfig(CommandContext& context) {
  CheckDocument(context, ReadDocument(context));
  context.PrintResult({{"result", "valid"}});
}

void DiffConfig(CommandContext& context) {
  const json document = ReadDocument(context);
  context.env.err << "against version " << context.State().config()->version << "\n";
  context.PrintResult(DescribeDifference(CurrentDocument(context.State()), document));
}

void DefineApply(cxxopts::Options& options) {
  options.add_options()("base", "version that FILE is based on (required)",
                        cxxopts::value<std::uint64_t>(), "VERSION");
  DefineReason(options);
}

void ApplyConfig(CommandContext& context) {
  if (context.options.count("base") == 0) {
    throw ClientError(ExitStatus::kUsage, "--base is required");
  }
  context.RequiredOption("reason");
  const auto base = context.options["base"].as<std::uint64_t>();
  const json document = ReadDocument(context);
  CheckDocument(context, document);
  const ControlState& state = context.State();
  const std::uint64_t version = state.config()->version;
  const json current = CurrentDocument(state);
  if (version > 0 && base <= version && current == document) {
    context.ReportUnchanged("the document is already in force as version " +
                            std::to_string(version));
    return;
  }
  if (base != version) {
    context.env.err << "difference from version " << version << " (in force) to the file:\n";
    context.PrintResult(DescribeDifference(current, document));
    throw ClientError(ExitStatus::kConflict, "version " + std::to_string(version) +
                                                 " is in force, not the base " +
                                                 std::to_string(base) + "; nothing was changed");
  }
  context.PublishChange(ConfigChange{base, document});
}

void ShowHistory(CommandContext& context) {
  std::vector<AuditEntry> entries;
  for (const AuditEntry& entry : context.State().audit()) {
    if (entry.what.starts_with("config_")) entries.push_back(entry);
  }
  context.PrintResult(DescribeAudit(entries));
}

/// Parses a time such as 2026-12-31T18:00:00Z and returns it as Unix time in milliseconds.
std::uint64_t ParseTime(const std::string& text) {
  std::tm parts{};
  std::istringstream in(text);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::char_traits<char>::eof()) {
    throw ClientError(ExitStatus::kUsage,
                      "--ends: is '" + Printable(text) + "', expected e.g. 2026-12-31T18:00:00Z");
  }
  const std::int64_t seconds = timegm(&parts);
  if (seconds < 0) throw ClientError(ExitStatus::kUsage, "--ends: is before the year 1970");
  return static_cast<std::uint64_t>(seconds) * 1000;
}

void ListExceptions(CommandContext& context) {
  const json document = CurrentDocument(context.State());
  const std::int64_t now = context.env.timer.UnixMs();
  ordered_json rows = ordered_json::array();
  for (const json& entry : document.value("exceptions", json::array())) {
    ordered_json row = {{"account", entry["account"]}};
    for (const char* name : {"rate", "burst", "weight", "ends_at_ms", "reason"}) {
      row[name] = ordered_json(entry.value(name, json()));
    }
    const bool ended = entry.contains("ends_at_ms") && entry["ends_at_ms"] <= now;
    row["state"] = ended ? "ended" : "in force";
    rows.push_back(row);
  }
  context.PrintResult(rows);
}

/// Returns the index of the exception of an account, or the size of `list` if it has none.
std::size_t FindException(const json& list, const std::string& account) {
  std::size_t n = 0;
  while (n < list.size() && list[n]["account"] != account) ++n;
  return n;
}

void PublishPatch(CommandContext& context, const json& document, const json& operations) {
  CheckDocument(context, document.patch(operations));
  context.PublishChange(ConfigPatch{context.State().config()->version, operations});
}

void DefineAddException(cxxopts::Options& options) {
  options.add_options()("rate", "requests per second", cxxopts::value<double>(), "NUMBER")(
      "burst", "burst size in requests", cxxopts::value<double>(), "NUMBER")(
      "weight", "weight in fair queueing", cxxopts::value<double>(), "NUMBER")(
      "ends", "end of the exception, e.g. 2026-12-31T18:00:00Z", cxxopts::value<std::string>(),
      "TIME");
  DefineReason(options);
}

void AddException(CommandContext& context) {
  const std::string& account = context.arguments[0];
  json entry = {{"account", account}, {"reason", context.RequiredOption("reason")}};
  for (const char* name : {"rate", "burst", "weight"}) {
    if (context.options.count(name) > 0) entry[name] = context.options[name].as<double>();
  }
  if (entry.size() == 2) {
    throw ClientError(ExitStatus::kUsage, "one of --rate, --burst, --weight is required");
  }
  if (context.options.count("ends") > 0) {
    entry["ends_at_ms"] = ParseTime(context.options["ends"].as<std::string>());
  }
  const json document = CurrentDocument(context.State());
  const json list = document.value("exceptions", json::array());
  const std::size_t n = FindException(list, account);
  if (n < list.size() && list[n] == entry) {
    context.ReportUnchanged("the exception is already in force");
    return;
  }
  if (n < list.size()) {
    throw ClientError(ExitStatus::kFailed,
                      "'" + account + "' already has an exception; remove it first");
  }
  json operations = json::array();
  if (!document.contains("exceptions")) {
    operations.push_back({{"op", "add"}, {"path", "/exceptions"}, {"value", json::array()}});
  }
  operations.push_back({{"op", "add"}, {"path", "/exceptions/-"}, {"value", entry}});
  PublishPatch(context, document, operations);
}

void RemoveException(CommandContext& context) {
  context.RequiredOption("reason");
  const std::string& account = context.arguments[0];
  const auto& accounts = context.State().config()->accounts;
  if (std::none_of(accounts.begin(), accounts.end(),
                   [&](const AccountConfig& a) { return a.name == account; })) {
    throw ClientError(ExitStatus::kFailed, "unknown client account '" + account + "'");
  }
  const json document = CurrentDocument(context.State());
  const json list = document.value("exceptions", json::array());
  const std::size_t n = FindException(list, account);
  if (n == list.size()) {
    context.ReportUnchanged("'" + account + "' has no exception");
    return;
  }
  PublishPatch(context, document,
               json::array({{{"op", "remove"}, {"path", "/exceptions/" + std::to_string(n)}}}));
}

constexpr std::array kCommands = {
    Command{"config show", "", "print the configuration document in force", nullptr, ShowConfig},
    Command{"config check", "FILE", "validate a document and list all its faults", nullptr,
            CheckConfig},
    Command{"config diff", "FILE", "list what FILE would change", nullptr, DiffConfig},
    Command{"config apply", "FILE", "publish a configuration document", DefineApply, ApplyConfig},
    Command{"config history", "", "list the changes to the configuration", nullptr, ShowHistory},
    Command{"exceptions list", "", "list the exceptions to the default limits", nullptr,
            ListExceptions},
    Command{"exceptions add", "ACCOUNT", "override the limits of an account", DefineAddException,
            AddException},
    Command{"exceptions remove", "ACCOUNT", "remove the exception of an account", DefineReason,
            RemoveException},
};

}  // namespace

std::span<const Command> ConfigCommands() { return kCommands; }

}  // namespace dogwoodport::detail
