// Injects random faults into a deployment of real processes and checks the router's guarantees.
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "soak/faults.h"

namespace dogwoodport::soak {
namespace {

using platform::standin::AttemptCounts;
using platform::standin::AttemptOutcome;
using platform::standin::LocalFleet;
using platform::standin::LocalFleetSettings;

constexpr Duration kReadyTimeout{30'000'000};
/// After the last fault, the deployment must recover within kRecoveryTime, the operators' limit of
/// 15 s, and must then serve callers for kSteadyTime.
constexpr Duration kRecoveryTime{15'000'000};
constexpr Duration kSteadyTime{3'000'000};
/// Minimum share of the attempts that must be served during kSteadyTime.
constexpr double kMinServedShare = 0.9;
/// Rate limit of the first account, in requests per second. Its callers exceed it.
constexpr double kLimitedAccountRate = 30;

struct Options {
  std::uint64_t seed = 1;
  int fault_seconds = 20;
  LocalFleetSettings fleet;
  std::string log_directory;
};

double ServedShare(const AttemptCounts& counts) {
  std::uint64_t total = 0;
  std::uint64_t served = 0;
  for (const auto& [outcome, attempts] : counts) {
    total += attempts;
    if (outcome == AttemptOutcome::kServed) served += attempts;
  }
  return total == 0 ? 0 : static_cast<double>(served) / static_cast<double>(total);
}

std::string FormatCounts(const AttemptCounts& counts) {
  std::ostringstream out;
  for (const auto& [outcome, attempts] : counts) out << " " << ToString(outcome) << " " << attempts;
  return out.str();
}

/// Copies the instances' logs of a failed run to `directory`.
void CopyLogs(const LocalFleet& fleet, const std::string& directory) {
  if (directory.empty()) return;
  std::filesystem::create_directories(directory);
  for (std::size_t i = 0; i < fleet.instances(); ++i) {
    const std::filesystem::path log = fleet.LogPath(i);
    std::filesystem::copy_file(log, std::filesystem::path(directory) / log.filename(),
                               std::filesystem::copy_options::overwrite_existing);
  }
  std::cout << "logs: " << directory << "\n";
}

int RunSeed(Options options) {
  std::cout << "seed " << options.seed << "\n";
  net::EventLoop loop;
  options.fleet.seed = options.seed;
  options.fleet.limited_account_rate = kLimitedAccountRate;
  LocalFleet fleet(loop, options.fleet);
  std::vector<std::string> failures;
  if (!fleet.RunUntilReady(kReadyTimeout)) failures.push_back("the instances did not become ready");
  fleet.StartCallers();
  std::ostringstream history;
  FaultInjector fault_injector(loop, fleet, options.seed, history);
  fault_injector.InjectFaults(std::chrono::seconds(options.fault_seconds));
  const AttemptCounts during_faults = fleet.TakeCounts();
  fleet.Run(kRecoveryTime);
  const AttemptCounts recovering = fleet.TakeCounts();
  fleet.Run(kSteadyTime);
  const AttemptCounts steady = fleet.TakeCountsByAccount()[LocalFleet::kUnchangedAccount];
  fleet.StopCallers();
  for (std::size_t i = 0; i < fleet.instances(); ++i) fleet.Retire(i);
  const auto all_exited = [&] {
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
      if (!fleet.ExitStatus(i)) return false;
    }
    return true;
  };
  if (!fleet.RunUntil(all_exited, kReadyTimeout)) failures.push_back("an instance did not exit");
  std::cout << "disturbed:" << FormatCounts(during_faults)
            << "\nrecovering:" << FormatCounts(recovering) << "\ncalm:" << FormatCounts(steady)
            << "\ncopies of refusals: " << fleet.RepeatedRefusals() << "\n";
  if (ServedShare(steady) < kMinServedShare) {
    failures.push_back("too few attempts were served after the recovery time");
  }
  for (const std::string& it : fleet.checker().violations()) failures.push_back(it);
  if (failures.empty()) {
    std::cout << "guarantees kept: " << fleet.checker().runs() << " runs, "
              << fleet.checker().responses() << " responses\n";
    return 0;
  }
  std::cout << history.str();
  for (const std::string& it : failures) std::cout << "BROKEN " << it << "\n";
  CopyLogs(fleet, options.log_directory);
  return 1;
}

}  // namespace
}  // namespace dogwoodport::soak

int main(int argc, char** argv) {
  cxxopts::Options parser("soak", "Injects random faults into a deployment of real processes");
  parser.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "runs", "number of consecutive seeds", cxxopts::value<int>()->default_value("1"))(
      "seconds", "duration of the faults in each run, in seconds",
      cxxopts::value<int>()->default_value("20"))(
      "instances", "instances", cxxopts::value<std::size_t>()->default_value("3"))(
      "logs", "directory for the logs of failed runs",
      cxxopts::value<std::string>()->default_value(""))("help", "print this help");
  try {
    const auto args = parser.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << parser.help();
      return 0;
    }
    int failed = 0;
    for (int i = 0; i < args["runs"].as<int>(); ++i) {
      dogwoodport::soak::Options options;
      options.seed = args["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
      options.fault_seconds = args["seconds"].as<int>();
      options.fleet.instances = args["instances"].as<std::size_t>();
      if (!args["logs"].as<std::string>().empty()) {
        options.log_directory = args["logs"].as<std::string>() + "/" + std::to_string(options.seed);
      }
      failed += dogwoodport::soak::RunSeed(options);
    }
    return failed == 0 ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "soak: " << e.what() << "\n";
    return 2;
  }
}
