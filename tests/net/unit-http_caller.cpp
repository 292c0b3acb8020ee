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
                        Duration timeout, HttpCaller::ResponseTest answers = nullptr,
                        CallConnection connection = CallConnection::kReused) {
  std::optional<CallOutcome> result;
  caller.Call(
      address, MakePost(address), timeout,
      [&result](const CallOutcome& outcome) { result = outcome; }, connection, std::move(answers));
  REQUIRE(RunUntil(
      loop, [&] { return result.has_value(); }, std::chrono::seconds(10)));
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

struct SecondResponseCase {
  const char* description;
  /// Sent when the second call arrives.
  std::string bytes;
  /// Body of the response to the second call; unset if it has none.
  std::optional<std::string> answer;
};

/// Returns a response with the id of a call.
std::string ResponseBytes(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + id;
}

TEST_CASE("a second response to an earlier call does not answer a call", "[http_caller]") {
  const std::string first = ResponseBytes("1");
  const std::string second = ResponseBytes("2");
  const std::string both = first + second;
  const std::string no_id = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const auto test_case = GENERATE_COPY(
      values<SecondResponseCase>({{"no second response", second, "2"},
                                  {"a second response before the response", both, "2"},
                                  {"a second response only", first, std::nullopt},
                                  {"a response without an id", no_id, std::nullopt}}));
  INFO(test_case.description);
  EventLoop loop;
  std::size_t requests = 0;
  ScriptedTarget target(loop, [&](const std::string&, std::size_t) {
    return Reaction{++requests == 1 ? first : test_case.bytes, Reaction::End::kKeepOpen, "",
                    Duration{0}};
  });
  HttpCaller caller(loop, PoolLimits{});
  const auto answers = [](const std::string& id) {
    return [id](const HttpResponse& response) {
      const std::string* const answered = response.fields.Find("Id");
      const bool is_own = answered != nullptr && *answered == id;
      return is_own ? ResponseMatch::kOwn : ResponseMatch::kForeign;
    };
  };
  const Duration timeout = std::chrono::milliseconds(200);
  REQUIRE(ResponseOf(CallAndWait(loop, caller, target.address(), timeout, answers("1"))));
  const CallOutcome outcome = CallAndWait(loop, caller, target.address(), timeout, answers("2"));
  CHECK(target.connections() == 1);
  if (test_case.answer) {
    REQUIRE(ResponseOf(outcome) != nullptr);
    CHECK(ResponseOf(outcome)->body == *test_case.answer);
  } else {
    REQUIRE(ResponseOf(outcome) == nullptr);
    CHECK(std::get<NoResponse>(outcome) == NoResponse::kUnanswered);
  }
}

struct UnidentifiedCase {
  const char* description;
  std::string first_response;
  std::string copy;
};

// Guards against a refusal of one call that counts as the response to the next one.
TEST_CASE("a copy of a refusal without an id does not answer the next call",
          "[http_caller][repeated_refusal]") {
  const std::string refusal = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
  const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const auto test_case = GENERATE_COPY(values<UnidentifiedCase>(
      {{"a copy of a refusal", refusal, refusal}, {"no copy", success, ""}}));
  INFO(test_case.description);
  EventLoop loop;
  std::size_t requests = 0;
  ScriptedTarget target(loop, [&](const std::string&, std::size_t connection) {
    if (++requests == 1) return Reaction{test_case.first_response};
    return Reaction{(connection == 0 ? test_case.copy : "") + success};
  });
  HttpCaller caller(loop, PoolLimits{});
  const auto unidentified = [](const HttpResponse& /*response*/) {
    return ResponseMatch::kUnidentified;
  };
  const Duration timeout = std::chrono::seconds(5);
  REQUIRE(ResponseOf(CallAndWait(loop, caller, target.address(), timeout, unidentified)));
  const CallOutcome outcome = CallAndWait(loop, caller, target.address(), timeout, unidentified);
  REQUIRE(ResponseOf(outcome) != nullptr);
  CHECK(ResponseOf(outcome)->status == 200);
  // Successes share a connection.
  CHECK(target.connections() == (test_case.copy.empty() ? 1 : 2));
}

TEST_CASE("a call may require a new connection", "[http_caller]") {
  const auto connection = GENERATE(CallConnection::kReused, CallConnection::kNew);
  EventLoop loop;
  ScriptedTarget target(loop, [&](const std::string&, std::size_t) {
    return Reaction{ResponseBytes("1"), Reaction::End::kKeepOpen, "", Duration{0}};
  });
  HttpCaller caller(loop, PoolLimits{});
  const Duration timeout = std::chrono::seconds(5);
  REQUIRE(ResponseOf(CallAndWait(loop, caller, target.address(), timeout)));
  REQUIRE(ResponseOf(CallAndWait(loop, caller, target.address(), timeout, nullptr, connection)));
  CHECK(target.connections() == (connection == CallConnection::kNew ? 2 : 1));
}

}  // namespace
}  // namespace dogwoodport::net
