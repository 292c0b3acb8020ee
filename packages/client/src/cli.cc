#include "dogwoodport/client/cli.h"

#include <cxxopts.hpp>
#include <istream>
#include <optional>
#include <ostream>
#include <sstream>

#include "dogwoodport/client/detail/command.h"

namespace dogwoodport {
namespace {

using detail::Command;
using detail::CommandContext;

constexpr const char* kDefaultSettings = "dogwoodctl.json";

std::vector<Command> AllCommands() {
  std::vector<Command> commands;
  for (const auto group : {detail::ConfigCommands(), detail::ChangeCommands(),
                           detail::ReadCommands(), detail::ExplainCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream in(text);
  return {std::istream_iterator<std::string>(in), {}};
}

/// Lists the commands whose first word is `prefix`, or all commands if it is empty.
void ListCommands(std::ostream& out, const std::string& prefix) {
  out << "usage: dogwoodctl COMMAND [ARGUMENTS] [--settings FILE] [--output table|json]\n\n";
  for (const Command& command : AllCommands()) {
    const std::string name = command.name;
    if (!prefix.empty() && SplitWords(name).front() != prefix) continue;
    std::string synopsis = name + (*command.arguments == '\0' ? "" : " ") + command.arguments;
    synopsis.resize(std::max<std::size_t>(synopsis.size() + 2, 36), ' ');
    out << "  " << synopsis << command.summary << "\n";
  }
  out << "\n'dogwoodctl COMMAND --help' lists the options of a command.\n"
      << "Exit status: 0 ok, 1 refused or failed, 2 usage or settings, 3 log service or instances\n"
      << "unreachable, 4 conflict with another change.\n";
}

/// A command and the command line arguments after its name.
struct Selection {
  Command command;
  std::vector<std::string> remaining_args;
};

std::optional<Selection> SelectCommand(const std::vector<std::string>& args) {
  for (const Command& command : AllCommands()) {
    const std::vector<std::string> words = SplitWords(command.name);
    if (args.size() < words.size() || !std::equal(words.begin(), words.end(), args.begin())) {
      continue;
    }
    const auto remaining_begin = args.begin() + static_cast<std::ptrdiff_t>(words.size());
    return Selection{command, {remaining_begin, args.end()}};
  }
  return std::nullopt;
}

cxxopts::Options MakeOptions(const Command& command) {
  cxxopts::Options options(std::string("dogwoodctl ") + command.name, command.summary);
  options.positional_help(command.arguments);
  options.add_options()("h,help", "show this help")(
      "s,settings", "settings file", cxxopts::value<std::string>()->default_value(kDefaultSettings),
      "FILE")("o,output", "table or json", cxxopts::value<std::string>()->default_value("table"),
              "FORMAT")("operator-secret-stdin",
                        "read the operator's secret from the first line of the standard input")(
      "arguments", "", cxxopts::value<std::vector<std::string>>());
  if (command.define != nullptr) command.define(options);
  options.parse_positional({"arguments"});
  return options;
}

cxxopts::ParseResult ParseOptions(cxxopts::Options& options, const Selection& selection) {
  std::vector<const char*> argv = {"dogwoodctl"};
  for (const std::string& arg : selection.remaining_args) argv.push_back(arg.c_str());
  return options.parse(static_cast<int>(argv.size()), argv.data());
}

std::vector<std::string> CheckedArguments(const Command& command,
                                          const cxxopts::ParseResult& parsed) {
  std::vector<std::string> arguments;
  if (parsed.count("arguments") > 0) {
    arguments = parsed["arguments"].as<std::vector<std::string>>();
  }
  const std::size_t expected = SplitWords(command.arguments).size();
  if (arguments.size() == expected) return arguments;
  throw ClientError(ExitStatus::kUsage, std::string(command.name) + " takes " +
                                            std::to_string(expected) + " argument(s)" +
                                            (expected == 0 ? "" : ": ") + command.arguments);
}

OutputFormat ParseOutputFormat(const cxxopts::ParseResult& parsed) {
  const auto text = parsed["output"].as<std::string>();
  if (text == "table") return OutputFormat::kTable;
  if (text == "json") return OutputFormat::kJson;
  throw ClientError(ExitStatus::kUsage,
                    "--output: is '" + Printable(text) + "', expected table or json");
}

void RunCommand(const Selection& selection, const CliEnvironment& environment) {
  cxxopts::Options options = MakeOptions(selection.command);
  const cxxopts::ParseResult parsed = ParseOptions(options, selection);
  if (parsed.count("help") > 0) {
    // The usage line already lists the positional arguments.
    environment.out << options.help({""}) << "\n";
    return;
  }
  const std::vector<std::string> arguments = CheckedArguments(selection.command, parsed);
  const OutputFormat format = ParseOutputFormat(parsed);
  ClientSettings settings;
  if (selection.command.uses_settings) {
    settings = LoadClientSettings(parsed["settings"].as<std::string>());
  }
  if (parsed.count("operator-secret-stdin") > 0) {
    std::getline(environment.in, settings.operator_secret);
  }
  CommandContext context(environment, std::move(settings), format, parsed, arguments);
  selection.command.run(context);
}

int ExitCode(ExitStatus status) { return static_cast<int>(status); }

/// Returns the first element of `args` if it is the first word of a command, else an empty string.
std::string MatchingCommandGroup(const std::vector<std::string>& args) {
  for (const Command& command : AllCommands()) {
    if (!args.empty() && SplitWords(command.name).front() == args[0]) return args[0];
  }
  return {};
}

int ReportUnknown(const std::vector<std::string>& args, std::ostream& err) {
  const std::string known_group = MatchingCommandGroup(args);
  if (args.empty()) {
    err << "dogwoodctl: no command given\n";
  } else if (known_group.empty()) {
    err << "dogwoodctl: unknown command '" << Printable(args[0]) << "'\n";
  } else if (args.size() == 1) {
    err << "dogwoodctl: '" << known_group << "' needs a subcommand\n";
  } else {
    err << "dogwoodctl: unknown subcommand '" << Printable(args[1]) << "' of '" << known_group
        << "'\n";
  }
  ListCommands(err, known_group);
  return ExitCode(ExitStatus::kUsage);
}

bool IsHelpRequest(const std::vector<std::string>& args) {
  return !args.empty() && (args[0] == "--help" || args[0] == "-h" || args[0] == "help");
}

}  // namespace

int RunCli(const std::vector<std::string>& args, const CliEnvironment& environment) {
  if (IsHelpRequest(args)) {
    ListCommands(environment.out, "");
    return ExitCode(ExitStatus::kOk);
  }
  const std::optional<Selection> selection = SelectCommand(args);
  if (!selection) {
    if (args.size() >= 2 && !MatchingCommandGroup(args).empty() &&
        (args[1] == "--help" || args[1] == "-h")) {
      ListCommands(environment.out, MatchingCommandGroup(args));
      return ExitCode(ExitStatus::kOk);
    }
    return ReportUnknown(args, environment.err);
  }
  try {
    RunCommand(*selection, environment);
    return ExitCode(ExitStatus::kOk);
  } catch (const ClientError& e) {
    environment.err << "dogwoodctl: " << DescribeNested(e) << "\n";
    return ExitCode(e.status());
  } catch (const cxxopts::exceptions::exception& e) {
    environment.err << "dogwoodctl: " << Printable(e.what()) << "\n";
    return ExitCode(ExitStatus::kUsage);
  } catch (const std::exception& e) {
    environment.err << "dogwoodctl: " << DescribeNested(e) << "\n";
    return ExitCode(ExitStatus::kFailed);
  }
}

}  // namespace dogwoodport
