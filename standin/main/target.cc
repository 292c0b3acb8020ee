// Simulator of a target as a process: standin_target --port 9001 --behaviour '{"name":"khata-1"}'.
#include <signal.h>

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "dogwoodport/standin/http_target.h"

int main(int argc, char** argv) {
  using dogwoodport::standin::ApplyJson;
  using dogwoodport::standin::HttpTarget;
  using dogwoodport::standin::TargetBehaviour;
  cxxopts::Options options("standin_target", "Simulator of a target");
  options.add_options()("port", "port on 127.0.0.1, 0 to choose one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "behaviour", "behaviour as JSON, e.g. {\"name\":\"khata-1\",\"service_ms\":5}",
      cxxopts::value<std::string>()->default_value("{}"));
  try {
    const auto args = options.parse(argc, argv);
    TargetBehaviour behaviour;
    ApplyJson(behaviour, nlohmann::json::parse(args["behaviour"].as<std::string>()));
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const HttpTarget target(behaviour, args["port"].as<std::uint16_t>());
    std::cout << target.port() << std::endl;
    const timespec interval{0, 5'000'000};
    while (sigtimedwait(&signals, nullptr, &interval) < 0) {
      // A crash takes all connections with it, so the process ends without clean-up.
      if (target.crashed()) _exit(1);
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "standin_target: " << e.what() << "\n";
    return 2;
  }
}
