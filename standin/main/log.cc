// Simulator of the platform's log service; see dogwoodport/standin/log_server.h.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "dogwoodport/standin/log_server.h"

int main(int argc, char** argv) {
  using dogwoodport::standin::LogServer;
  using dogwoodport::standin::LogServerSettings;
  cxxopts::Options options("standin_log", "Simulates the platform's log service on 127.0.0.1.");
  options.add_options()("port", "port; 0 lets the system choose",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "retained", "records that each log keeps",
      cxxopts::value<std::size_t>()->default_value("1000000"))("help", "print this text");
  try {
    const auto result = options.parse(argc, argv);
    if (result.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    // Signals are blocked before the server starts its threads, so that only sigwait gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const LogServer server(LogServerSettings{result["port"].as<std::uint16_t>(),
                                             result["retained"].as<std::size_t>()});
    std::cout << "listening on 127.0.0.1:" << server.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "standin_log: " << e.what() << "\n";
    return 2;
  }
}
