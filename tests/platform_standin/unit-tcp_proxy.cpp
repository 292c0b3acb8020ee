#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/tcp_proxy.h"
#include "net/http_world.h"
#include "net/scripted_target.h"

namespace dogwoodport::platform::standin {
namespace {

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* kSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 503";

struct CopyCase {
  const char* description;
  std::string first_response;
  bool repeats;
  std::uint64_t copies;
};

TEST_CASE("a proxy repeats a refusal once, ahead of the next response", "[tcp_proxy]") {
  const std::string no_body = " X\r\nContent-Length: 0\r\nId: a\r\n\r\n";
  const auto test_case = GENERATE_COPY(values<CopyCase>({
      {"full", "HTTP/1.1 503" + no_body, true, 1},
      {"over its limit", "HTTP/1.1 429" + no_body, true, 1},
      {"another target", "HTTP/1.1 421" + no_body, true, 1},
      {"older token", "HTTP/1.1 409" + no_body, true, 1},
      {"with a body", "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull", true, 1},
      {"failure", "HTTP/1.1 500" + no_body, true, 0},
      {"success", kSuccess, true, 0},
      {"without the fault", "HTTP/1.1 503" + no_body, false, 0},
  }));
  INFO(test_case.description);
  net::EventLoop loop;
  std::size_t requests = 0;
  const net::ScriptedTarget server(loop, [&](const std::string&, std::size_t) {
    return net::Reaction{requests++ == 0 ? test_case.first_response : kSuccess};
  });
  TcpProxy proxy(loop, server.address());
  proxy.SetRepeatsRefusals(test_case.repeats);
  net::RawClient client(loop, proxy.address());
  std::string expected = test_case.first_response;
  const auto receives_expected = [&] { return client.received.size() >= expected.size(); };
  client.stream->Write(kRequest);
  REQUIRE(net::RunUntil(loop, receives_expected, std::chrono::seconds(5)));
  if (test_case.copies > 0) expected += test_case.first_response;
  for (int i = 0; i < 2; ++i) {
    expected += kSuccess;
    client.stream->Write(kRequest);
    REQUIRE(net::RunUntil(loop, receives_expected, std::chrono::seconds(5)));
  }
  CHECK(client.received == expected);
  std::uint64_t copies = 0;
  for (const auto& [status, n] : proxy.repeated_refusals()) copies += n;
  CHECK(copies == test_case.copies);
}

}  // namespace
}  // namespace dogwoodport::platform::standin
