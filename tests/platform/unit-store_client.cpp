#include <catch2/catch.hpp>
#include <optional>

#include "dogwoodport/platform/store_client.h"
#include "net/scripted_target.h"

namespace dogwoodport::platform {
namespace {

using net::Reaction;

/// Bytes of a response that a connection may take at most, including the socket buffers.
constexpr std::size_t kMaxTakenBytes = 32UL << 20;

/// Reads the newest records of a feed and returns the outcome.
fleet::ReadOutcome ReadNewest(net::EventLoop& loop, const std::string& address) {
  StoreClient store(loop, {address, std::chrono::seconds(20)});
  std::optional<fleet::ReadOutcome> result;
  store.ReadNewest(fleet::Feed::kTargets,
                   [&result](const fleet::ReadOutcome& outcome) { result = outcome; });
  net::TimerId guard = loop.RunAfter(std::chrono::seconds(60), [&loop] { loop.Stop(); });
  loop.Run([&] {
    if (result) loop.Stop();
  });
  loop.Cancel(guard);
  REQUIRE(result);
  return *result;
}

struct EndlessResponse {
  const char* description;
  std::string head;
};

TEST_CASE("an endless response of the store is given up", "[store_client][endless]") {
  const auto response = GENERATE(values<EndlessResponse>({
      {"a body", "HTTP/1.1 200 OK\r\n\r\n"},
      {"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"},
      {"a header line", "HTTP/1.1 200 OK\r\nX-A: "},
  }));
  INFO(response.description);
  net::EventLoop loop;
  net::ScriptedTarget server(loop, [&](const std::string&, std::size_t) {
    return Reaction{response.head, Reaction::End::kKeepOpen, std::string(1024, 'x'), Duration{0}};
  });
  const fleet::ReadOutcome outcome = ReadNewest(loop, server.address());
  CHECK(std::holds_alternative<fleet::StoreUnavailable>(outcome));
  CHECK(server.sent(0) < kMaxTakenBytes);
}

TEST_CASE("endless pages of the newest records are given up", "[store_client][endless]") {
  int pages = 0;
  const std::string value(60'000, 'A');
  net::EventLoop loop;
  net::ScriptedTarget server(loop, [&](const std::string&, std::size_t) {
    ++pages;
    std::string body = R"({"end":9,"hasMore":true,"items":[)";
    for (int i = 0; i < 10; ++i) {
      body += (i == 0 ? "" : ",") + std::string(R"({"offset":1,"key":"k)") +
              std::to_string(pages * 10 + i) + R"(","value":")" + value + R"("})";
    }
    body += "]}";
    return Reaction{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        Reaction::End::kKeepOpen, "", Duration{0}};
  });
  const fleet::ReadOutcome outcome = ReadNewest(loop, server.address());
  CHECK(std::holds_alternative<fleet::StoreUnavailable>(outcome));
  CHECK(pages < 100);
}

}  // namespace
}  // namespace dogwoodport::platform
