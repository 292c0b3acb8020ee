#include "net/http_world.h"
#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

TEST_CASE("an instance that receives SIGTERM finishes its requests and exits with status 0",
          "[shutdown]") {
  LocalFleetSettings settings;
  settings.shutdown_grace = GENERATE(values({Duration{6'000'000}, Duration{2'500'000}}));
  INFO("grace period " << settings.shutdown_grace.count() << " us");
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(100));
  env.fleet.TakeCounts();
  env.fleet.Retire(0);
  REQUIRE(env.fleet.RunUntil([&] { return env.fleet.ExitStatus(0).has_value(); }, kTimeout));
  CHECK(env.fleet.ExitStatus(0) == 0);
  const AttemptCounts counts = env.fleet.TakeCounts();
  CHECK(counts.count(AttemptOutcome::kDisconnected) == 0);
  CHECK(counts.count(AttemptOutcome::kServed) == 1);
  env.RequireNoViolations();
}

/// Connects with a receive buffer so small that the operating system cannot take over a response
/// that is not read.
Poco::Net::StreamSocket ConnectWithSmallBuffer(const std::string& address) {
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
  socket.setReceiveBufferSize(32 * 1024);
  socket.connect(Poco::Net::SocketAddress(address));
  return socket;
}

TEST_CASE("an instance that receives SIGTERM sends its responses to callers that read slowly",
          "[shutdown]") {
  constexpr std::size_t kResponseBytes = 7'000'000;
  LocalFleetSettings settings;
  settings.instance_memory_mb = 400;
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(100));
  env.fleet.StopCallers();
  for (std::size_t i = 0; i < env.fleet.targets(); ++i) {
    env.fleet.Target(i)->faults().padding_bytes = kResponseBytes;
  }
  const net::HttpRequest request = env.fleet.MakeRequest(0, "large", 0, std::chrono::seconds(15));
  net::RawClient caller(env.loop, ConnectWithSmallBuffer(env.fleet.CallerAddress(0)));
  caller.stream->SetReading(false);
  caller.stream->Write(net::ToBytes(request));
  env.fleet.Run(std::chrono::seconds(1));
  env.fleet.Retire(0);
  env.fleet.Run(std::chrono::seconds(4));
  REQUIRE_FALSE(env.fleet.ExitStatus(0).has_value());
  caller.stream->SetReading(true);
  REQUIRE(env.fleet.RunUntil([&] { return caller.ended; }, kTimeout));
  CHECK(caller.received.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(caller.received.size() > kResponseBytes);
  REQUIRE(env.fleet.RunUntil([&] { return env.fleet.ExitStatus(0).has_value(); }, kTimeout));
  CHECK(env.fleet.ExitStatus(0) == 0);
}

}  // namespace
}  // namespace dogwoodport::platform::standin
