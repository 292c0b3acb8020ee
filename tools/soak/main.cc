// Plays random faults on a deployment of real processes and checks the promises while it runs.
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "soak/faults.h"

namespace dogwoodport::soak {
namespace {

using platform::standin::AttemptCounts;
using platform::standin::AttemptEnd;
using platform::standin::FleetWorld;
using platform::standin::WorldSettings;

constexpr Duration kReadyLimit{30'000'000};
/// After the last fault, callers must be served again within the first span, and then for the
/// second one; the bound of the operators for the recovery is 15 s.
constexpr Duration kRecovery{15'000'000};
constexpr Duration kCalm{3'000'000};
/// Part of the attempts in the calm time that must be served.
constexpr double kCalmServed = 0.9;
/// Requests per second of the account that is bounded; its callers ask for more.
constexpr double kBoundedRate = 30;

struct Options {
  std::uint64_t seed = 1;
  int seconds = 20;
  WorldSettings world;
  std::string logs;
};

double ServedPart(const AttemptCounts& counts) {
  std::uint64_t all = 0;
  std::uint64_t served = 0;
  for (const auto& [end, n] : counts) {
    all += n;
    if (end == AttemptEnd::kServed) served += n;
  }
  return all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
}

std::string Describe(const AttemptCounts& counts) {
  std::ostringstream out;
  for (const auto& [end, n] : counts) out << " " << NameOf(end) << " " << n;
  return out.str();
}

/// Keeps the instances' logs of a run that failed.
void KeepLogs(const FleetWorld& world, const std::string& directory) {
  if (directory.empty()) return;
  std::filesystem::create_directories(directory);
  for (std::size_t i = 0; i < world.instances(); ++i) {
    const std::filesystem::path log = world.Log(i);
    std::filesystem::copy_file(log, std::filesystem::path(directory) / log.filename(),
                               std::filesystem::copy_options::overwrite_existing);
  }
  std::cout << "logs: " << directory << "\n";
}

int Run(Options options) {
  std::cout << "seed " << options.seed << "\n";
  net::EventLoop loop;
  options.world.seed = options.seed;
  options.world.bounded_rate = kBoundedRate;
  FleetWorld world(loop, options.world);
  std::vector<std::string> failures;
  if (!world.RunUntilReady(kReadyLimit)) failures.push_back("the instances did not become ready");
  world.StartCallers();
  std::ostringstream history;
  Faults faults(loop, world, options.seed, history);
  faults.Play(std::chrono::seconds(options.seconds));
  const AttemptCounts disturbed = world.TakeCounts();
  world.Run(kRecovery);
  const AttemptCounts recovering = world.TakeCounts();
  world.Run(kCalm);
  const AttemptCounts calm = world.TakeCountsByAccount()[FleetWorld::kPlainAccount];
  world.StopCallers();
  for (std::size_t i = 0; i < world.instances(); ++i) world.Retire(i);
  const auto ended = [&] {
    for (std::size_t i = 0; i < world.instances(); ++i) {
      if (!world.ExitStatus(i)) return false;
    }
    return true;
  };
  if (!world.RunUntil(ended, kReadyLimit)) failures.push_back("an instance did not end");
  std::cout << "disturbed:" << Describe(disturbed) << "\nrecovering:" << Describe(recovering)
            << "\ncalm:" << Describe(calm) << "\n";
  if (ServedPart(calm) < kCalmServed) {
    failures.push_back("callers are not served after the faults");
  }
  for (const std::string& it : world.promises().violations()) failures.push_back(it);
  if (failures.empty()) {
    std::cout << "kept: " << world.promises().runs() << " runs, " << world.promises().answers()
              << " answers\n";
    return 0;
  }
  std::cout << history.str();
  for (const std::string& it : failures) std::cout << "BROKEN " << it << "\n";
  KeepLogs(world, options.logs);
  return 1;
}

}  // namespace
}  // namespace dogwoodport::soak

int main(int argc, char** argv) {
  cxxopts::Options parser("soak", "Random faults on a deployment of real processes");
  parser.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "runs", "number of seeds", cxxopts::value<int>()->default_value("1"))(
      "seconds", "length of the faults of one run", cxxopts::value<int>()->default_value("20"))(
      "instances", "instances", cxxopts::value<std::size_t>()->default_value("3"))(
      "logs", "directory for the logs of runs that fail",
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
      options.seconds = args["seconds"].as<int>();
      options.world.instances = args["instances"].as<std::size_t>();
      if (!args["logs"].as<std::string>().empty()) {
        options.logs = args["logs"].as<std::string>() + "/" + std::to_string(options.seed);
      }
      failed += dogwoodport::soak::Run(options);
    }
    return failed == 0 ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "soak: " << e.what() << "\n";
    return 2;
  }
}
