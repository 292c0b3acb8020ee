#include <catch2/catch.hpp>

#include "net/http_world.h"
#include "net/scripted_target.h"

namespace dogwoodport::net {
namespace {

/// Records the outcome of one call.
struct Outcome : CallHandler {
  void OnResponse(HttpResponse value) override { response = std::move(value); }
  void OnFailure(CallFailure value) override { failure = value; }
  ResponseMatch Match(const HttpResponse& value) override {
    const std::string* const id = value.fields.Find("X-Id");
    const bool is_own = expected_id.empty() || (id != nullptr && *id == expected_id);
    return is_own ? ResponseMatch::kOwn : ResponseMatch::kForeign;
  }
  bool ended() const { return response || failure; }

  std::string expected_id;
  std::optional<HttpResponse> response;
  std::optional<CallFailure> failure;
};

/// Responds to each request with the same bytes.
ScriptedTarget::Script RespondWith(std::string bytes, bool close_after) {
  const auto end = close_after ? Reaction::End::kClose : Reaction::End::kKeepOpen;
  return [bytes = std::move(bytes), end](const std::string& /*request*/, std::size_t /*number*/) {
    return Reaction{bytes, end, "", Duration{0}};
  };
}

std::string MakeResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct ResponseCase {
  const char* description;
  std::string bytes;
  bool close_after;
  std::string body;
  std::optional<CallFailure> failure;
  std::size_t idle;
};

TEST_CASE("only a complete response to the pending request is accepted", "[http_client]") {
  const auto test_case = GENERATE(values<ResponseCase>({
      {"the response", MakeResponse("1", "ab"), false, "ab", {}, 1},
      {"a late response to another request first",
       MakeResponse("0", "x") + MakeResponse("1", "ab"),
       false,
       "ab",
       {},
       0},
      {"an interim response first",
       "HTTP/1.1 102 Processing\r\n\r\n" + MakeResponse("1", "ab"),
       false,
       "ab",
       {},
       1},
      {"bytes after the response", MakeResponse("1", "ab") + "surplus", false, "ab", {}, 0},
      {"no length, ended by close", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nab", true, "ab", {}, 0},
      {"a truncated response", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nab", true,
       "", CallFailure::kMalformed, 0},
      {"not an HTTP response", "nonsense\r\n\r\n", false, "", CallFailure::kMalformed, 0},
      {"closed without a response", "", true, "", CallFailure::kBroken, 0},
      {"closed after a response to another request", MakeResponse("0", "x"), true, "",
       CallFailure::kBroken, 0},
  }));
  INFO(test_case.description);
  EventLoop loop;
  ScriptedTarget target(loop, RespondWith(test_case.bytes, test_case.close_after));
  ConnectionPool pool(loop, PoolLimits{});
  Outcome outcome;
  outcome.expected_id = "1";
  const ClientConnectionPtr connection = pool.Acquire(target.address());
  connection->Send(kRequest, false, &outcome);
  loop.RunAfter(std::chrono::seconds(5), [&] { loop.Stop(); });
  loop.Run([&] {
    if (outcome.ended()) loop.Stop();
  });
  CHECK(outcome.failure == test_case.failure);
  if (!test_case.failure) {
    REQUIRE(outcome.response);
    CHECK(outcome.response->body == test_case.body);
  }
  CHECK(pool.IdleCount(target.address()) == test_case.idle);
}

TEST_CASE("aborting a call resets its connection, so that the request cannot arrive later",
          "[http_client]") {
  EventLoop loop;
  ScriptedTarget target(loop, RespondWith("", false));
  ConnectionPool pool(loop, PoolLimits{});
  Outcome outcome;
  const ClientConnectionPtr connection = pool.Acquire(target.address());
  connection->Send(kRequest, false, &outcome);
  loop.RunAfter(std::chrono::seconds(5), [&] { loop.Stop(); });
  loop.RunAfter(std::chrono::milliseconds(50), [&] { connection->Abort(); });
  loop.Run([&] {
    if (target.connections() == 1 && target.ended(0)) loop.Stop();
  });
  REQUIRE(target.ended(0));
  CHECK(target.end(0) == StreamEnd::kReset);
  CHECK_FALSE(outcome.ended());
  CHECK(pool.Count(target.address()) == 0);
}

TEST_CASE("a connection with a response before the end of the request is not reused",
          "[http_client]") {
  // The larger size exceeds the socket buffers, so that part of the request remains unsent.
  const std::size_t size = GENERATE(std::size_t{1}, std::size_t{64'000'000});
  EventLoop loop;
  Poco::Net::ServerSocket target(Poco::Net::SocketAddress("127.0.0.1:0"));
  const std::string address = target.address().toString();
  ConnectionPool pool(loop, PoolLimits{});
  Outcome outcome;
  const ClientConnectionPtr connection = pool.Acquire(address);
  connection->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) +
                       "\r\n\r\n" + std::string(size, 'x'),
                   false, &outcome);
  Poco::Net::StreamSocket accepted;
  loop.RunAfter(std::chrono::milliseconds(50), [&] {
    accepted = target.acceptConnection();
    const std::string early_response = MakeResponse("1", "early");
    accepted.sendBytes(early_response.data(), static_cast<int>(early_response.size()));
  });
  loop.RunAfter(std::chrono::seconds(10), [&] { loop.Stop(); });
  loop.Run([&] {
    if (outcome.ended()) loop.Stop();
  });
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "early");
  CHECK(pool.IdleCount(address) == (size == 1 ? 1 : 0));
}

TEST_CASE("a failed connect is reported as not connected", "[http_client]") {
  EventLoop loop;
  std::string address;
  {
    const ScriptedTarget target(loop, RespondWith("", false));
    address = target.address();
  }
  ConnectionPool pool(loop, PoolLimits{});
  Outcome outcome;
  const ClientConnectionPtr connection = pool.Acquire(address);
  connection->Send(kRequest, false, &outcome);
  loop.RunAfter(std::chrono::seconds(5), [&] { loop.Stop(); });
  loop.Run([&] {
    if (outcome.ended()) loop.Stop();
  });
  CHECK(outcome.failure == CallFailure::kNotConnected);
}

TEST_CASE("connections are reused until their idle timeout", "[http_client]") {
  EventLoop loop;
  ScriptedTarget target(loop, RespondWith(MakeResponse("1", "ab"), false));
  PoolLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(30);
  ConnectionPool pool(loop, limits);
  const auto call = [&] {
    Outcome outcome;
    const ClientConnectionPtr connection = pool.Acquire(target.address());
    connection->Send(kRequest, false, &outcome);
    loop.Run([&] {
      if (outcome.ended()) loop.Stop();
    });
  };
  call();
  call();
  CHECK(pool.opened() == 1);
  loop.RunAfter(std::chrono::milliseconds(60), [&] { loop.Stop(); });
  loop.Run();
  call();
  CHECK(pool.opened() == 2);
}

/// Makes a call on a connection of the pool and returns the number of connections opened so far.
std::uint64_t CallOnce(EventLoop& loop, ConnectionPool& pool, const std::string& address,
                       const std::string& call_id) {
  Outcome outcome;
  const ClientConnectionPtr connection = pool.Acquire(address, call_id, 1);
  connection->Send(kRequest, false, &outcome, call_id);
  loop.Run([&] {
    if (outcome.ended()) loop.Stop();
  });
  return pool.opened();
}

struct SecondCallCase {
  const char* description;
  std::string status;
  std::string first_id;
  std::string second_id;
  std::uint64_t opened;
};

TEST_CASE("a call does not use a connection that may repeat an unsuccessful response to it",
          "[http_client]") {
  const auto test_case = GENERATE(values<SecondCallCase>({
      {"the same call after a failure", "503 X", "a", "a", 2},
      {"the same call after a success", "200 OK", "a", "a", 1},
      {"another call", "503 X", "a", "b", 1},
      {"calls without ids", "503 X", "", "", 1},
  }));
  INFO(test_case.description);
  EventLoop loop;
  const ScriptedTarget target(
      loop, RespondWith("HTTP/1.1 " + test_case.status + "\r\nContent-Length: 0\r\n\r\n", false));
  ConnectionPool pool(loop, PoolLimits{});
  CHECK(CallOnce(loop, pool, target.address(), test_case.first_id) == 1);
  CHECK(CallOnce(loop, pool, target.address(), test_case.second_id) == test_case.opened);
  CHECK(pool.Count(target.address()) == 1);
}

TEST_CASE("the number of ids that a connection keeps is bounded", "[http_client]") {
  EventLoop loop;
  const ScriptedTarget target(loop,
                              RespondWith("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false));
  ConnectionPool pool(loop, PoolLimits{});
  constexpr std::uint64_t kCallsPerConnection = 256;
  for (std::uint64_t i = 0; i < 2 * kCallsPerConnection; ++i) {
    const std::uint64_t opened = CallOnce(loop, pool, target.address(), std::to_string(i));
    CHECK(opened == 1 + i / kCallsPerConnection);
  }
}

TEST_CASE("serialising a request recomputes its length", "[http_client]") {
  HttpRequest request;
  request.method = "POST";
  request.target = "/x";
  request.fields.Add("Host", "a");
  request.fields.Add("Transfer-Encoding", "chunked");
  request.fields.Add("Connection", "close, X-Hop");
  request.fields.Add("X-Hop", "1");
  request.fields.Add("X-Kept", "2");
  request.body = "abc";
  request.has_body = true;
  CHECK(ToBytes(request) ==
        "POST /x HTTP/1.1\r\nHost: a\r\nX-Kept: 2\r\nContent-Length: 3\r\n\r\nabc");
}

}  // namespace
}  // namespace dogwoodport::net
