// Subcommand that explains the outcome of a request from log lines.

#include <ctime>
#include <fstream>
#include <istream>

#include "dogwoodport/client/detail/command.h"
#include "dogwoodport/client/request_story.h"

namespace dogwoodport::detail {
namespace {

using nlohmann::ordered_json;

void DefineLogs(cxxopts::Options& options) {
  options.add_options()("log", "log file of an instance, repeatable; default: standard input",
                        cxxopts::value<std::vector<std::string>>(), "FILE");
}

void AddLines(RequestTimeline& timeline, std::istream& in) {
  for (std::string line; std::getline(in, line);) {
    if (!line.empty()) timeline.Add(line);
  }
}

std::string TimeOfDay(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 16> buf{};
  std::strftime(buf.data(), buf.size(), "%H:%M:%S", &parts);
  const std::string ms = std::to_string(1000 + time_ms % 1000).substr(1);
  return std::string(buf.data()) + "." + ms;
}

void Explain(CommandContext& context) {
  RequestTimeline timeline(context.arguments[0]);
  if (context.options.count("log") > 0) {
    for (const auto& path : context.options["log"].as<std::vector<std::string>>()) {
      std::ifstream file(path);
      if (!file) throw ClientError(ExitStatus::kUsage, "--log: cannot read " + Printable(path));
      AddLines(timeline, file);
    }
  } else {
    AddLines(timeline, context.env.in);
  }
  if (!timeline.found()) {
    throw ClientError(ExitStatus::kFailed,
                      "no log line contains the request id " + Printable(context.arguments[0]) +
                          "; the instances may have dropped lines of frequent events");
  }
  ordered_json rows = ordered_json::array();
  for (const TimelineEntry& it : timeline.Lines()) {
    rows.push_back({{"time", TimeOfDay(it.time_ms)},
                    {"instance", it.instance},
                    {"event", it.event},
                    {"what", it.text},
                    {"belief", it.basis}});
  }
  if (context.format == OutputFormat::kJson) {
    context.PrintResult({{"request_id", context.arguments[0]},
                         {"cause", timeline.Cause()},
                         {"lines_left_out", timeline.dropped_lines()},
                         {"lines_unreadable", timeline.unreadable_lines()},
                         {"story", rows}});
    return;
  }
  context.PrintResult(rows);
  context.env.out << "\n" << timeline.Cause() << "\n";
  if (timeline.dropped_lines() > 0) {
    context.env.out << "The instances dropped " << timeline.dropped_lines()
                    << " log lines at their log limits.\n";
  }
}

constexpr std::array<Command, 1> kCommands = {
    {{"explain", "REQUEST-ID", "explain the outcome of a request from log lines", &DefineLogs,
      &Explain,
      /*uses_settings=*/false}}};

}  // namespace

std::span<const Command> ExplainCommands() { return kCommands; }

}  // namespace dogwoodport::detail
