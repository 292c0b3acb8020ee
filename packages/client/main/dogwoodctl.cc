#include <iostream>
#include <random>

#include "dogwoodport/client/cli.h"
#include "dogwoodport/log_service/http_log_service.h"

namespace dogwoodport {
namespace {

std::shared_ptr<LogService> OpenLog(const ClientSettings& settings) {
  HttpLogSettings log;
  log.host = settings.log_host;
  log.port = settings.log_port;
  log.log = settings.log;
  return std::make_shared<HttpLogService>(log);
}

std::shared_ptr<InstanceClient> OpenInstances(const ClientSettings& settings) {
  return std::make_shared<HttpInstanceClient>(settings.operator_secret, settings.response_timeout);
}

std::uint64_t Random64() {
  // Also used for salts of secrets, so each value is read from the random generator of the system.
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace
}  // namespace dogwoodport

int main(int argc, char** argv) {
  dogwoodport::SystemTimer timer;
  const dogwoodport::CliEnvironment environment{dogwoodport::OpenLog,
                                                dogwoodport::OpenInstances,
                                                timer,
                                                dogwoodport::Random64,
                                                std::cin,
                                                std::cout,
                                                std::cerr};
  return dogwoodport::RunCli({argv + 1, argv + argc}, environment);
}
