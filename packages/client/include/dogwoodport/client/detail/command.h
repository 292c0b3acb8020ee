#pragma once

/// @file
/// Interfaces and helpers shared by the subcommands of `dogwoodctl`.

#include <cxxopts.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "dogwoodport/client/cli.h"
#include "dogwoodport/client/client_error.h"
#include "dogwoodport/client/log_view.h"
#include "dogwoodport/client/output.h"
#include "dogwoodport/client/publisher.h"

namespace dogwoodport::detail {

/// State of one run of a subcommand. The log and the instances are opened on first use.
class CommandContext {
 public:
  CommandContext(const CliEnvironment& environment, ClientSettings client_settings,
                 OutputFormat output_format, const cxxopts::ParseResult& parsed,
                 std::vector<std::string> positional)
      : env(environment),
        settings(std::move(client_settings)),
        format(output_format),
        options(parsed),
        arguments(std::move(positional)) {}

  LogService& Log();
  LogView& View();
  const ControlState& State() { return View().state(); }
  InstanceClient& Instances();

  /// Returns the value of a required option. Throws `ClientError` with `kUsage` if it is missing or
  /// blank.
  std::string RequiredOption(const std::string& option) const;

  /// Prints the result of the command to the output.
  void PrintResult(const nlohmann::ordered_json& value) const { Print(env.out, format, value); }

  /// Reports that no change was necessary, with the reason in `explanation`.
  void ReportUnchanged(const std::string& explanation) const;

  /// Publishes a change with the option `reason`, waits until it is in force on the instances and
  /// prints the result. Throws `ClientError` if the change is stale (`kConflict`, after printing
  /// the conflicting changes) or refused (`kFailed`).
  void PublishChange(RecordBody body);

  const CliEnvironment& env;
  ClientSettings settings;
  OutputFormat format;
  const cxxopts::ParseResult& options;
  std::vector<std::string> arguments;

 private:
  Record MakeRecord(RecordBody body) const;
  std::vector<std::string> AwaitInForce(std::uint64_t offset);
  [[noreturn]] void ThrowConflict(const Publication& publication, std::uint64_t base,
                                  const std::string& base_document);

  std::shared_ptr<LogService> log_;
  std::unique_ptr<LogView> view_;
  std::shared_ptr<InstanceClient> instances_;
};

/// A subcommand, e.g. "config show".
struct Command {
  const char* name;
  /// Names of the positional arguments, separated by spaces.
  const char* arguments;
  const char* summary;
  void (*define)(cxxopts::Options&);
  void (*run)(CommandContext&);
  /// Whether the command needs the settings file with the addresses of the log and the instances.
  bool uses_settings = true;
};

std::span<const Command> ConfigCommands();
std::span<const Command> ChangeCommands();
std::span<const Command> ReadCommands();
std::span<const Command> ExplainCommands();

/// Adds the option `reason`.
void DefineReason(cxxopts::Options& options);

/// Returns the difference between two documents as rows of op, path, from and to. Lists at most
/// `kMaxDifferences` differences. Complexity: their number times the size of the document.
nlohmann::ordered_json DescribeDifference(const nlohmann::json& from, const nlohmann::json& to);

inline constexpr std::size_t kMaxDifferences = 200;

/// Returns the audit entries as rows.
nlohmann::ordered_json DescribeAudit(std::span<const AuditEntry> entries);

/// Validates a document. If it has faults, prints them and throws `ClientError` with `kFailed`.
/// Hides the values of faults below `/secrets`, because they may contain plain secrets.
void CheckDocument(const CommandContext& context, const nlohmann::json& document);

/// Returns the configuration document in force, or an empty object if there is none.
nlohmann::json CurrentDocument(const ControlState& state);

}  // namespace dogwoodport::detail
