// Subcommands that show the pages of the instances, and the audit.

#include "dogwoodport/client/detail/command.h"

namespace dogwoodport::detail {
namespace {

using nlohmann::ordered_json;

constexpr Duration kFollowPollInterval{1'000'000};

void DefineInstance(cxxopts::Options& options) {
  options.add_options()("instance", "query only this instance", cxxopts::value<std::string>(),
                        "NAME");
}

std::vector<InstanceAddress> SelectedInstances(const CommandContext& context) {
  const auto& all = context.settings.instances;
  if (all.empty()) throw ClientError(ExitStatus::kUsage, "the settings list no instances");
  if (context.options.count("instance") == 0) return all;
  const auto name = context.options["instance"].as<std::string>();
  for (const InstanceAddress& instance : all) {
    if (instance.name == name) return {instance};
  }
  throw ClientError(ExitStatus::kUsage, "the settings list no instance '" + Printable(name) + "'");
}

/// Returns the rows of a page: the page itself if it is a list, its only list if that contains only
/// objects, or else the page as a single row.
ordered_json PageRows(const ordered_json& page) {
  if (page.is_array()) return page;
  const ordered_json* only_list = nullptr;
  for (const auto& [name, value] : page.items()) {
    if (!value.is_array()) continue;
    if (only_list != nullptr) return ordered_json::array({page});
    only_list = &value;
  }
  const bool objects =
      only_list != nullptr && std::all_of(only_list->begin(), only_list->end(),
                                          [](const ordered_json& row) { return row.is_object(); });
  return objects ? *only_list : ordered_json::array({page});
}

/// Converts an entry to a table row: replaces each object by its fields, and lists of objects in it
/// by their size.
ordered_json Flatten(const ordered_json& entry) {
  ordered_json row;
  for (const auto& [name, value] : entry.items()) {
    if (!value.is_object()) {
      row[name] = value;
      continue;
    }
    for (const auto& [inner_name, field] : value.items()) {
      const bool list = field.is_array() && !field.empty() && field.front().is_object();
      row[std::string(name).append(".").append(inner_name)] =
          list ? ordered_json(field.size()) : field;
    }
  }
  return row;
}

void AddRows(ordered_json& rows, const std::string& instance, const ordered_json& page) {
  for (const ordered_json& entry : PageRows(page)) {
    ordered_json row = {{"asked", instance}};
    if (entry.is_object()) {
      row.update(Flatten(entry));
    } else {
      row["value"] = entry;
    }
    rows.push_back(std::move(row));
  }
}

/// Prints a page of each selected instance. Throws `ClientError` if no instance returned it.
void PrintPages(CommandContext& context, const std::string& path) {
  ordered_json pages = ordered_json::array();
  ordered_json rows = ordered_json::array();
  std::size_t response_count = 0;
  ExitStatus status = ExitStatus::kUnreachable;
  for (const InstanceAddress& instance : SelectedInstances(context)) {
    try {
      const ordered_json page = context.Instances().Get(instance, path);
      ++response_count;
      pages.push_back({{"instance", instance.name}, {"page", page}});
      AddRows(rows, instance.name, page);
    } catch (const ClientError& e) {
      if (e.status() != ExitStatus::kUnreachable) status = e.status();
      context.env.err << Printable(e.what()) << "\n";
      pages.push_back({{"instance", instance.name}, {"error", e.what()}});
    }
  }
  if (response_count == 0) throw ClientError(status, "no instance returned the page " + path);
  context.PrintResult(context.format == OutputFormat::kJson ? pages : rows);
}

void ShowStatus(CommandContext& context) { PrintPages(context, "/-/status"); }
void ShowInstances(CommandContext& context) { PrintPages(context, "/-/instances"); }
void ShowTargets(CommandContext& context) { PrintPages(context, "/-/targets"); }
void ShowShards(CommandContext& context) { PrintPages(context, "/-/shards"); }

void DefineOwners(cxxopts::Options& options) {
  options.add_options()("service", "keyed service (required)", cxxopts::value<std::string>(),
                        "NAME");
  DefineInstance(options);
}

void ShowOwners(CommandContext& context) {
  PrintPages(context, "/-/owners?service=" + EncodeQueryValue(context.RequiredOption("service")) +
                          "&key=" + EncodeQueryValue(context.arguments[0]));
}

void ShowLimits(CommandContext& context) {
  PrintPages(context, "/-/limits?account=" + EncodeQueryValue(context.arguments[0]));
}

void DefineOrders(cxxopts::Options& options) {
  options.add_options()("account", "client account (required)", cxxopts::value<std::string>(),
                        "NAME");
  DefineInstance(options);
}

void ShowOrders(CommandContext& context) {
  PrintPages(context, "/-/orders?account=" + EncodeQueryValue(context.RequiredOption("account")) +
                          "&key=" + EncodeQueryValue(context.arguments[0]));
}

void DefineAudit(cxxopts::Options& options) {
  options.add_options()("follow", "keep printing new entries until interrupted")(
      "from", "first offset to print", cxxopts::value<std::uint64_t>()->default_value("0"),
      "OFFSET");
}

/// Prints the audit entries from offset `from` on and returns the next offset to read.
std::uint64_t PrintAudit(CommandContext& context, std::uint64_t from, bool print_empty) {
  std::vector<AuditEntry> entries;
  for (const AuditEntry& entry : context.State().audit()) {
    if (entry.offset >= from) entries.push_back(entry);
  }
  if (!entries.empty() || print_empty) {
    context.PrintResult(DescribeAudit(entries));
    context.env.out.flush();
  }
  return std::max(from, context.State().next_offset());
}

void ShowAudit(CommandContext& context) {
  std::uint64_t next = PrintAudit(context, context.options["from"].as<std::uint64_t>(), true);
  if (context.options.count("follow") == 0) return;
  bool log_unreachable = false;
  while (context.env.timer.Sleep(kFollowPollInterval)) {
    try {
      context.View().CatchUp();
      if (log_unreachable) context.env.err << "the log can be read again\n";
      log_unreachable = false;
    } catch (const ClientError& e) {
      if (e.status() != ExitStatus::kUnreachable) throw;
      if (!log_unreachable) context.env.err << DescribeNested(e) << "; waiting for it\n";
      log_unreachable = true;
      continue;
    }
    next = PrintAudit(context, next, false);
  }
}

constexpr std::array kCommands = {
    Command{"status", "", "show the state of each instance", DefineInstance, ShowStatus},
    Command{"instances", "", "show the membership list of each instance", DefineInstance,
            ShowInstances},
    Command{"targets list", "", "show targets with their state and load", DefineInstance,
            ShowTargets},
    Command{"shards", "", "show the assignment of shards", DefineInstance, ShowShards},
    Command{"owners", "KEY", "show the owner of a key", DefineOwners, ShowOwners},
    Command{"limits", "ACCOUNT", "show the limits of an account", DefineInstance, ShowLimits},
    Command{"orders", "KEY", "show the order with an idempotency key", DefineOrders, ShowOrders},
    Command{"audit", "", "list who changed what, when and why", DefineAudit, ShowAudit},
};

}  // namespace

std::span<const Command> ReadCommands() { return kCommands; }

}  // namespace dogwoodport::detail
