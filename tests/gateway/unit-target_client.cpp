#include <catch2/catch.hpp>
#include <thread>

#include "dogwoodport/gateway/target_client.h"
#include "dogwoodport/standin/http_target.h"

namespace dogwoodport {
namespace {

using standin::AnswerMode;
using standin::HttpTarget;
using standin::TargetBehaviour;

Exchange Get(std::uint16_t port, const std::string& id,
             std::chrono::milliseconds deadline = std::chrono::seconds(60)) {
  Exchange e;
  e.target = {"127.0.0.1", port};
  e.request = {"POST", "/x", {{"Dogwood-Request-Id", id}}, "hello"};
  e.request_id = id;
  e.deadline = std::chrono::steady_clock::now() + deadline;
  return e;
}

TargetBehaviour With(AnswerMode mode) {
  TargetBehaviour b;
  b.mode = mode;
  b.service_ms = 0;
  return b;
}

}  // namespace

TEST_CASE("a connection is kept after a whole answer") {
  HttpTarget target(With(AnswerMode::kWhole));
  TargetClient client({});
  for (int i = 0; i < 5; ++i) {
    const auto result = client.Run(Get(target.port(), "r" + std::to_string(i)));
    const auto* answer = std::get_if<ExchangeAnswer>(&result);
    REQUIRE(answer != nullptr);
    CHECK(answer->answer.body.find("hello") != std::string::npos);
  }
  CHECK(client.counters().connects == 1);
  CHECK(client.idle_connections({"127.0.0.1", target.port()}) == 1);
}

TEST_CASE("faulty answers are reported with the true run state and their connections closed") {
  struct Case {
    AnswerMode mode;
    ExchangeFault fault;
    RunState run;
  };
  const std::vector<Case> cases = {
      {AnswerMode::kTruncated, ExchangeFault::kTruncated, RunState::kYes},
      {AnswerMode::kMalformed, ExchangeFault::kMalformed, RunState::kUnknown},
      {AnswerMode::kCrossed, ExchangeFault::kCrossed, RunState::kUnknown},
      {AnswerMode::kOversized, ExchangeFault::kTooLarge, RunState::kYes},
      {AnswerMode::kDropped, ExchangeFault::kTruncated, RunState::kUnknown},
  };
  for (const Case& c : cases) {
    HttpTarget target(With(c.mode));
    TargetClientSettings settings;
    settings.max_answer_bytes = 100'000;
    TargetClient client(settings);
    const auto result = client.Run(Get(target.port(), "r1"));
    const auto* failure = std::get_if<ExchangeFailure>(&result);
    INFO("mode " << static_cast<int>(c.mode));
    REQUIRE(failure != nullptr);
    INFO(ToString(failure->fault) << ": " << failure->text);
    CHECK(failure->fault == c.fault);
    CHECK(failure->run == c.run);
    CHECK(client.idle_connections({"127.0.0.1", target.port()}) == 0);
  }
}

TEST_CASE("an unasked second answer is never taken for that of the next request") {
  // Guards against crossed answers on kept connections (P7).
  HttpTarget target(With(AnswerMode::kDoubled));
  TargetClient client({});
  for (int i = 0; i < 20; ++i) {
    Exchange e = Get(target.port(), "r" + std::to_string(i));
    e.request.body = "body-" + std::to_string(i) + ";";
    const auto result = client.Run(e);
    const auto* answer = std::get_if<ExchangeAnswer>(&result);
    if (answer == nullptr) continue;
    CHECK(answer->answer.body.find(e.request.body) != std::string::npos);
  }
}

TEST_CASE("nothing is sent when the check before the first byte fails") {
  HttpTarget target(With(AnswerMode::kWhole));
  TargetClient client({});
  Exchange e = Get(target.port(), "r1");
  e.may_send = [] { return false; };
  const auto result = client.Run(e);
  CHECK(std::get<ExchangeFailure>(result).fault == ExchangeFault::kNotAllowed);
  CHECK(std::get<ExchangeFailure>(result).run == RunState::kNo);
  CHECK(target.runs().empty());
}

TEST_CASE("an unreachable target is reported as not run") {
  TargetClient client({});
  const auto result = client.Run(Get(1, "r1"));
  CHECK(std::get<ExchangeFailure>(result).fault == ExchangeFault::kConnectFailed);
  CHECK(std::get<ExchangeFailure>(result).run == RunState::kNo);
}

TEST_CASE("a silent connection ends at the deadline and is not used again") {
  HttpTarget target(With(AnswerMode::kWhole));
  TargetClient client({});
  REQUIRE(std::holds_alternative<ExchangeAnswer>(client.Run(Get(target.port(), "r1"))));
  target.Set(With(AnswerMode::kSilent));
  const auto result = client.Run(Get(target.port(), "r2", std::chrono::milliseconds(100)));
  const auto* failure = std::get_if<ExchangeFailure>(&result);
  REQUIRE(failure != nullptr);
  CHECK(failure->fault == ExchangeFault::kTimeout);
  CHECK(failure->run == RunState::kUnknown);
  CHECK_FALSE(failure->new_connection);
  // New connections to the target work.
  CHECK(std::holds_alternative<ExchangeAnswer>(client.Run(Get(target.port(), "r3"))));
}

TEST_CASE("a cancelled exchange ends early") {
  TargetBehaviour slow = With(AnswerMode::kWhole);
  slow.service_ms = 30'000;
  slow.frozen = true;
  HttpTarget target(slow);
  TargetClient client({});
  Exchange e = Get(target.port(), "r1");
  const auto cancelled = std::make_shared<std::atomic<bool>>(false);
  e.cancelled = cancelled;
  std::thread canceller([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    *cancelled = true;
  });
  const auto result = client.Run(e);
  canceller.join();
  CHECK(std::get<ExchangeFailure>(result).fault == ExchangeFault::kCallerLeft);
}

}  // namespace dogwoodport
