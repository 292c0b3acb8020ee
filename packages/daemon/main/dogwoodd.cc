// Entry point of the daemon: dogwoodd --config FILE. Exits with status 2 on invalid arguments or
// settings and with status 1 if startup fails.
#include <signal.h>

#include <cxxopts.hpp>
#include <iostream>

#include "dogwoodport/daemon/json_log.h"
#include "dogwoodport/daemon/server.h"
#include "dogwoodport/daemon/settings.h"
#include "dogwoodport/platform/run.h"

namespace {

/// Blocks SIGTERM and SIGINT before any thread starts, so that only `sigwait` receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const dogwoodport::Settings& settings) {
  const sigset_t signals = BlockSignals();
  const dogwoodport::JsonLog log(settings.instance, settings.data_centre);
  try {
    dogwoodport::Server server(settings, log);
    int signal = 0;
    sigwait(&signals, &signal);
    server.Shutdown();
    return 0;
  } catch (const dogwoodport::Error& e) {
    log.Error("not_started", {{"error", dogwoodport::DescribeNested(e)}});
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("dogwoodd", "Routes requests to the targets that own their keys");
  options.add_options()("config", "settings file (JSON)", cxxopts::value<std::string>())(
      "platform", "run on the platform, with the settings that it provides")("help",
                                                                             "print this help");
  dogwoodport::Settings settings;
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (args.count("platform") > 0) return dogwoodport::platform::RunOnPlatform();
    if (args.count("config") == 0) throw dogwoodport::SettingsError("--config FILE is required");
    if (!args.unmatched().empty()) {
      throw dogwoodport::SettingsError("unexpected argument " + args.unmatched().front());
    }
    settings = dogwoodport::LoadSettings(args["config"].as<std::string>());
  } catch (const std::exception& e) {
    std::cerr << "dogwoodd: " << e.what() << "\n";
    return 2;
  }
  dogwoodport::InitJsonLog(argv[0]);
  return Run(settings);
}
