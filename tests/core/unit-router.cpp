#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "dogwoodport/core/router.h"
#include "dogwoodport/log_service/memory_log_service.h"

namespace dogwoodport {
namespace {

constexpr Duration kTick{10'000};
constexpr Duration kSecond{1'000'000};

const char* const kConfig = R"({
  "data_centres": [{"name": "howrah"}],
  "services": [{"name": "farmaish"}, {"name": "khata", "keyed": true, "shards": 8},
    {"name": "suchi"}],
  "routes": [
    {"name": "lists", "path_prefix": "/suchi", "service": "suchi"},
    {"name": "orders", "path_prefix": "/farmaish", "service": "farmaish", "repeatable": false},
    {"name": "ledger", "path_prefix": "/khata", "service": "khata",
     "key": {"in": "path", "segment": 1}}],
  "accounts": [{"name": "shop", "rate": 1000, "burst": 1000, "secrets": [
    {"key_id": "k1", "salt": "a0b1c2d3e4f5a6b7", "hash": "HASH"}]}],
  "targets": [
    {"name": "farmaish-1", "service": "farmaish", "data_centre": "howrah", "host": "127.0.0.1",
     "port": 7001},
    {"name": "khata-1", "service": "khata", "data_centre": "howrah", "host": "127.0.0.1",
     "port": 7002},
    {"name": "suchi-1", "service": "suchi", "data_centre": "howrah", "host": "127.0.0.1",
     "port": 7003},
    {"name": "suchi-2", "service": "suchi", "data_centre": "howrah", "host": "127.0.0.1",
     "port": 7004}],
  "defaults": {"rate": 100, "burst": 200, "weight": 1}
})";

const InstanceId kOther = InstanceId::FromName("there-1");
const DataCentreId kThere = DataCentreId::FromName("there");

constexpr char kSecret[] = "k1.5f0e9a7c";

/// One instance with an in-memory log. Targets respond to probes and grants immediately.
class Fixture {
 public:
  explicit Fixture(std::vector<RouterPeer> peers = {})
      : peers_(std::move(peers)), router_(std::make_unique<Router>(MakeSettings(1), now_)) {
    std::string text = kConfig;
    const std::string hash = HashSecret("a0b1c2d3e4f5a6b7", kSecret);
    text.replace(text.find("HASH"), 4, hash);
    Record record;
    record.writer = InstanceId::FromName("operator");
    record.incarnation = Incarnation{1};
    record.sequence = 1;
    record.actor = "test";
    record.reason = "first configuration";
    record.body = ConfigChange{0, nlohmann::json::parse(text)};
    log_.Append({EncodeRecord(record)});
    RunUntil([this] { return Ready(); });
  }

  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 2'000 && !done(); ++i) Advance(kTick);
    REQUIRE(done());
  }

  void Advance(Duration step) {
    now_ += step;
    router_->Tick(now_, 1'700'000'000'000 + now_.time_since_epoch().count() / 1'000);
    RouterWork work = router_->TakeWork();
    for (const LogRequest& request : work.log) ServeLog(request);
    for (const ProbeTarget& probe : work.probes) {
      HealthReport health;
      health.reachable = targets_reachable_;
      health.boot = 1;
      router_->OnHealth(now_, probe.target, health);
    }
    for (const SendGrants& grants : work.grants) {
      router_->OnGrantReply(now_, {grants.request.target, grants.request.request, "boot",
                                   now_.time_since_epoch().count() / 1'000});
    }
  }

  /// Sends an order and advances time until it may be sent to its target.
  SendToTarget StartOrder(const std::string& key) {
    IncomingRequest in;
    in.request_id = "r-" + std::to_string(++requests_);
    in.request.method = "POST";
    in.request.uri = "/farmaish/ferrule";
    in.request.fields = {{"Authorization", std::string("Bearer ") + kSecret},
                         {"Idempotency-Key", key}};
    handle_ = 0;
    return WaitForSend(router_->OnRequest(now_, in, handle_));
  }

  /// Sends a request that the other data centre gets, because the targets of this one are down.
  ForwardRequest StartForward(const std::string& request_id) {
    const DataCentreLoad load{.data_centre = kThere,
                              .round_trip_us = 2'000,
                              .services = {{ServiceId::FromName("suchi"), 8, 0, 0}}};
    router_->OnMessage(now_, kOther, Incarnation{1}, load);
    targets_reachable_ = false;
    for (const char* target : {"suchi-1", "suchi-2"}) {
      router_->OnHealth(now_, TargetId::FromName(target), HealthReport{});
    }
    StartRequest(request_id, "/suchi/a");
    for (int i = 0; i < 10; ++i) {
      for (const Envelope& envelope : router_->TakeEnvelopes()) {
        const auto* forward = std::get_if<ForwardRequest>(&envelope.message);
        if (forward == nullptr) continue;
        targets_reachable_ = true;
        return *forward;
      }
      Advance(kTick);
    }
    FAIL("the request was not forwarded");
    return {};
  }

  /// Sends a request for a key and returns its first step other than `WaitForStep`.
  Step FirstOutcome(const std::string& request_id, const std::string& uri = "/khata/a") {
    const Step step = StartRequest(request_id, uri);
    return std::holds_alternative<WaitForStep>(step) ? NextStep() : step;
  }

  Step StartRequest(const std::string& request_id, const std::string& uri) {
    IncomingRequest in;
    in.request_id = request_id;
    in.request.method = "GET";
    in.request.uri = uri;
    in.request.fields = {{"Authorization", std::string("Bearer ") + kSecret}};
    return router_->OnRequest(now_, in, handle_);
  }

  SendToTarget WaitForSend(Step step) {
    if (const auto* send = std::get_if<SendToTarget>(&step)) return *send;
    REQUIRE(std::holds_alternative<WaitForStep>(step));
    return std::get<SendToTarget>(NextStep());
  }

  Step NextStep() {
    std::vector<ReadyStep> ready = router_->TakeReady();
    for (int i = 0; i < 500 && ready.empty(); ++i) {
      Advance(kTick);
      ready = router_->TakeReady();
    }
    REQUIRE(ready.size() == 1);
    return ready.front().step;
  }

  Reply Answer(const SendToTarget& send, std::uint16_t status, const std::string& run) {
    REQUIRE(router_->MaySend(now_, send.handle, send.attempt));
    TargetAnswered answered;
    answered.answer.status = status;
    answered.answer.fields = {{"Dogwood-Run", run}};
    const Step step = router_->OnAttempt(now_, send.handle, send.attempt, answered);
    return std::get<Finish>(step).reply;
  }

  /// Ends an attempt and returns the next step other than `WaitForStep`.
  Step EndAttempt(const SendToTarget& send, const AttemptOutcome& outcome) {
    const auto* failed = std::get_if<TargetFailed>(&outcome);
    const bool unsent = failed != nullptr && failed->run == RunState::kNo;
    if (!unsent) REQUIRE(router_->MaySend(now_, send.handle, send.attempt));
    const Step step = router_->OnAttempt(now_, send.handle, send.attempt, outcome);
    return std::holds_alternative<WaitForStep>(step) ? NextStep() : step;
  }

  /// Simulates a crash and restart of the process, which loses all of its memory.
  void Restart() {
    ++incarnation_;
    router_ = std::make_unique<Router>(MakeSettings(incarnation_), now_);
  }

  bool Ready() const { return router_->Ready(now_); }
  Router& router() { return *router_; }
  TimePoint now() const { return now_; }

 private:
  RouterSettings MakeSettings(std::uint64_t incarnation) const {
    RouterSettings settings;
    settings.peers = peers_;
    settings.instance = "howrah-1";
    settings.data_centre = "howrah";
    settings.self = InstanceId::FromName("howrah-1");
    settings.incarnation = Incarnation{incarnation};
    settings.own_data_centre = DataCentreId::FromName("howrah");
    return settings;
  }

  void ServeLog(const LogRequest& request) {
    if (const auto* read = std::get_if<LogRead>(&request)) {
      router_->OnLogRead(now_, read->id, log_.Read(read->from, read->max));
    } else {
      const auto& append = std::get<LogAppend>(request);
      log_.Append(append.records);
      router_->OnLogAppended(now_, append.id);
    }
  }

  TimePoint now_{kSecond};
  MemoryLogService log_;
  std::uint64_t incarnation_ = 1;
  std::vector<RouterPeer> peers_;
  std::unique_ptr<Router> router_;
  RequestHandle handle_ = 0;
  int requests_ = 0;
  bool targets_reachable_ = true;
};

}  // namespace

TEST_CASE("the router of a single instance handles orders") {
  Fixture f;

  SECTION("a caller that retries an order receives the stored outcome") {
    const SendToTarget send = f.StartOrder("a");
    CHECK(f.Answer(send, 201, "yes").run == RunState::kYes);
    IncomingRequest retry;
    retry.request_id = "again";
    retry.request = *send.request;
    retry.request.fields.push_back({"Authorization", std::string("Bearer ") + kSecret});
    RequestHandle handle = 0;
    Step step = f.router().OnRequest(f.now(), retry, handle);
    if (!std::holds_alternative<Finish>(step)) step = f.NextStep();
    CHECK(std::get<Finish>(step).reply.answer.status == 201);
  }
  SECTION("a refusal by a target is returned as not run and is not stored as an outcome") {
    // Guards against a refusal that is stored and replayed as the response of an executed order.
    const SendToTarget send = f.StartOrder("b");
    CHECK(f.Answer(send, 503, "no").run == RunState::kNo);
    f.Advance(2 * kSecond);
    f.RunUntil([&] { return f.Ready(); });
    const SendToTarget retry = f.StartOrder("b");
    CHECK(f.Answer(retry, 201, "yes").run == RunState::kYes);
  }
  SECTION("the caller's secret is not sent to targets") {
    const SendToTarget send = f.StartOrder("c");
    CHECK(FindField(send.request->fields, "Authorization") == nullptr);
    CHECK(FindField(send.fields, "Authorization") == nullptr);
  }
}

TEST_CASE("a data centre resumes service after its only instance restarts") {
  // Guards against a takeover that waits forever for a group whose members have all ended.
  Fixture f;
  f.Restart();
  CHECK_FALSE(f.Ready());
  f.RunUntil([&] { return f.Ready(); });
  // Slots that the previous run may have used or lent become free after the maximum duration of an
  // attempt. Until then the router refuses requests as not run.
  std::optional<SendToTarget> send;
  for (int i = 0; i < 20 && !send; ++i) {
    const Step step = f.FirstOutcome("after-" + std::to_string(i));
    if (std::holds_alternative<SendToTarget>(step)) {
      send = std::get<SendToTarget>(step);
    } else {
      CHECK(std::get<Finish>(step).reply.run == RunState::kNo);
      for (int n = 0; n < 100; ++n) f.Advance(kTick);
    }
  }
  REQUIRE(send);
  CHECK(send->target == TargetId::FromName("khata-1"));
}

struct LostAttemptCase {
  const char* description;
  TargetFailed lost;
  AttemptOutcome next;
  std::uint16_t status;
};

// Guards against callers that are told "not run" although an earlier attempt may have run.
TEST_CASE("a request whose earlier attempt may have run is not reported as not run") {
  const TargetFailed timeout{AttemptFault::kTimeout, RunState::kUnknown, false, "timeout"};
  const TargetFailed lost{AttemptFault::kConnectionLost, RunState::kUnknown, false, "lost"};
  const TargetFailed truncated{AttemptFault::kConnectionLost, RunState::kYes, false, "truncated"};
  const TargetFailed unreachable{AttemptFault::kConnectFailed, RunState::kNo, true, "unreachable"};
  const TargetFailed not_allowed{AttemptFault::kNotAllowed, RunState::kNo, false, "not allowed"};
  const TargetAnswered refusal{{503, {{"Dogwood-Run", "no"}}, ""}};
  const auto it = GENERATE_COPY(values<LostAttemptCase>({
      {"timed out, then refused", timeout, refusal, 504},
      {"timed out, then not connected", timeout, unreachable, 504},
      {"timed out, then never sent", timeout, not_allowed, 504},
      {"connection lost, then refused", lost, refusal, 502},
      {"connection lost, then not connected", lost, unreachable, 502},
      {"connection lost, then never sent", lost, not_allowed, 502},
      {"answer truncated, then refused", truncated, refusal, 502},
  }));
  INFO(it.description);
  Fixture f;
  Step step = f.FirstOutcome("r", "/suchi/a");
  const auto first = std::get<SendToTarget>(step);
  step = f.EndAttempt(first, it.lost);
  int sends = 1;
  while (const auto* send = std::get_if<SendToTarget>(&step)) {
    REQUIRE(++sends < 20);
    CHECK(send->target != first.target);
    const SendToTarget again = *send;
    step = f.EndAttempt(again, it.next);
  }
  CHECK(sends > 1);
  const Reply& reply = std::get<Finish>(step).reply;
  CHECK(reply.run == it.lost.run);
  CHECK(reply.answer.status == it.status);
}

TEST_CASE("a request that was refused by all targets is reported as not run") {
  Fixture f;
  const TargetAnswered refusal{{503, {{"Dogwood-Run", "no"}}, ""}};
  Step step = f.FirstOutcome("r", "/suchi/a");
  step = f.EndAttempt(std::get<SendToTarget>(step), refusal);
  step = f.EndAttempt(std::get<SendToTarget>(step), refusal);
  const Reply& reply = std::get<Finish>(step).reply;
  CHECK(reply.run == RunState::kNo);
  CHECK(reply.answer.status == 503);
}

// Guards against a caller that gets the answer to the request of another one.
TEST_CASE("the answer to a forwarded request of an earlier run does not end another request") {
  Fixture f({{kOther, kThere}});
  const ForwardRequest old = f.StartForward("old");
  f.Restart();
  f.RunUntil([&] { return f.Ready(); });
  const ForwardRequest current = f.StartForward("new");
  const Answer answer{200, {}, ""};
  f.router().OnMessage(f.now(), kOther, Incarnation{1},
                       ForwardAnswer{old.forward_id, RunState::kYes, answer});
  CHECK(f.router().TakeReady().empty());
  f.router().OnMessage(f.now(), kOther, Incarnation{1},
                       ForwardAnswer{current.forward_id, RunState::kYes, answer});
  CHECK(f.router().TakeReady().size() == 1);
}

// Guards against a caller that has only finished sending, still reads, and is told "not run".
TEST_CASE("the reply to a caller that left tells whether the request may have run") {
  Fixture f({{kOther, kThere}});
  const auto run = GENERATE(RunState::kNo, RunState::kUnknown);
  CAPTURE(ToString(run));
  SECTION("during an attempt") {
    const auto send = std::get<SendToTarget>(f.FirstOutcome("r", "/suchi/a"));
    const TargetFailed left{AttemptFault::kCallerLeft, run, false, "the caller has left"};
    const Reply reply = std::get<Finish>(f.EndAttempt(send, left)).reply;
    CHECK(reply.run == run);
    CHECK(reply.answer.status == 400);
  }
  SECTION("while another instance has the request") {
    const ForwardRequest forward = f.StartForward("r");
    const auto reply = f.router().OnCallerLeft(f.now(), forward.forward_id);
    REQUIRE(reply);
    CHECK(reply->run == RunState::kUnknown);
    CHECK(reply->answer.status == 400);
  }
}

}  // namespace dogwoodport
