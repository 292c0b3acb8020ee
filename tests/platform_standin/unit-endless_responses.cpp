#include <fstream>
#include <string>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

/// Memory limit of an instance of the deployment.
constexpr std::size_t kMemoryLimitKb = 160'000;

/// Returns the peak resident memory of a process.
std::size_t PeakMemoryKb(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string name; status >> name;) {
    std::size_t kb = 0;
    if (name == "VmHWM:" && status >> kb) return kb;
  }
  return 0;
}

struct EndlessResponse {
  const char* description;
  std::string head;
  std::string repeated;
};

// Guards against responses to grants that are kept until the memory is exhausted.
TEST_CASE("keyed targets that respond without end do not exhaust the memory of the coordinator",
          "[endless]") {
  const std::string kib(1024, 'x');
  const auto response = GENERATE_COPY(values<EndlessResponse>({
      {"a body", "HTTP/1.1 200 OK\r\n\r\n", kib},
      {"a header line", "HTTP/1.1 200 OK\r\nX-A: ", kib},
      {"a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", kib},
  }));
  INFO(response.description);
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(200));
  ProxyFaults faults;
  faults.head = response.head;
  faults.endless = response.repeated;
  for (std::size_t i = kFirstKeyedTarget; i < env.fleet.targets(); i += kServices) {
    env.fleet.TargetProxy(i).SetFaults(faults);
    env.fleet.TargetProxy(i).ResetConnections();
  }
  env.fleet.Run(seconds(6));
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) {
    INFO("instance " << i);
    CHECK(env.fleet.Starts(i) == 1);
    // The other half is for the requests and responses of callers.
    CHECK(PeakMemoryKb(env.fleet.ProcessId(i)) < kMemoryLimitKb / 2);
  }
  for (std::size_t i = kFirstKeyedTarget; i < env.fleet.targets(); i += kServices) {
    env.fleet.TargetProxy(i).SetFaults({});
  }
  REQUIRE(env.RunUntilServed(300));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
