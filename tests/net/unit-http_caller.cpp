#include <catch2/catch.hpp>
#include <optional>

#include "dogwoodport/net/http_caller.h"
#include "net/http_world.h"
#include "net/scripted_target.h"

namespace dogwoodport::net {
namespace {

HttpRequest MakePost(const std::string& address) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.fields.Add("Host", address);
  request.body = "body";
  request.has_body = true;
  return request;
}

/// Runs the loop until a call has ended and returns its outcome.
CallOutcome CallAndWait(EventLoop& loop, HttpCaller& caller, const std::string& address,
                        Duration timeout) {
  std::optional<CallOutcome> result;
  caller.Call(address, MakePost(address), timeout,
              [&result](const CallOutcome& outcome) { result = outcome; });
  TimerId guard = loop.RunAfter(std::chrono::seconds(10), [&loop] { loop.Stop(); });
  loop.Run([&] {
    if (result) loop.Stop();
  });
  loop.Cancel(guard);
  REQUIRE(result);
  return *result;
}

struct UnansweredCase {
  const char* description;
  Reaction reaction;
};

TEST_CASE("a call that may have arrived is reported as unanswered", "[http_caller]") {
  const auto test_case = GENERATE(values<UnansweredCase>({
      {"no response", {"", Reaction::End::kKeepOpen, "", Duration{0}}},
      {"closed", {"", Reaction::End::kClose, "", Duration{0}}},
      {"reset", {"", Reaction::End::kReset, "", Duration{0}}},
      {"not a response", {"nonsense\r\n\r\n", Reaction::End::kKeepOpen, "", Duration{0}}},
      {"a truncated response",
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", Reaction::End::kClose, "", Duration{0}}},
  }));
  INFO(test_case.description);
  EventLoop loop;
  ScriptedTarget target(loop, [&](const std::string&, std::size_t) { return test_case.reaction; });
  HttpCaller caller(loop, PoolLimits{});
  const CallOutcome outcome =
      CallAndWait(loop, caller, target.address(), std::chrono::milliseconds(200));
  REQUIRE(ResponseOf(outcome) == nullptr);
  CHECK(std::get<NoResponse>(outcome) == NoResponse::kUnanswered);
}

TEST_CASE("a call that cannot have arrived is reported as not sent", "[http_caller]") {
  EventLoop loop;
  std::string address;
  {
    const Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1:0"));
    address = closed.address().toString();
  }
  HttpCaller caller(loop, PoolLimits{});
  const CallOutcome outcome = CallAndWait(loop, caller, address, std::chrono::seconds(5));
  REQUIRE(ResponseOf(outcome) == nullptr);
  CHECK(std::get<NoResponse>(outcome) == NoResponse::kNotSent);
}

}  // namespace
}  // namespace dogwoodport::net
