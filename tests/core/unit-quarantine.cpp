#include <catch2/catch.hpp>

#include "dogwoodport/core/quarantine.h"
#include "dogwoodport/core/retry_policy.h"

namespace dogwoodport {
namespace {

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms * 1'000)); }
const TargetId kT1 = TargetId::FromName("t1");
const TargetId kT2 = TargetId::FromName("t2");
const InstanceId kOther = InstanceId::FromName("other");

/// Delivers the messages in `out` to `to` and discards its responses.
void Deliver(TimePoint now, Outbox& out, Quarantine& to) {
  Outbox ignored;
  for (const Envelope& e : out.Take()) {
    if (const auto* loss = std::get_if<LossNotice>(&e.message))
      to.OnMessage(now, kOther, *loss, ignored);
    if (const auto* q = std::get_if<QuarantineNotice>(&e.message))
      to.OnMessage(now, kOther, *q, ignored);
  }
}

}  // namespace

TEST_CASE("a request that crashes two targets is blocked on all instances") {
  // Guards against a request that crashes one target after another until none is available.
  Quarantine a;
  Quarantine b;
  a.SetInstances({kOther});
  b.SetInstances({kOther});
  const Fingerprint crashing =
      MakeFingerprint(AccountId::FromName("x"), RouteId::FromName("r"), {1, 2});
  const Fingerprint harmless =
      MakeFingerprint(AccountId::FromName("y"), RouteId::FromName("r"), {1, 2});
  Outbox out;
  a.OnSent(crashing, kT1);
  a.OnSent(harmless, kT1);
  CHECK_FALSE(a.OnTargetLost(At(0), kT1, out));
  Deliver(At(1), out, b);
  const std::int64_t second = GENERATE(30'000, 61'000);

  SECTION("within the window, through another instance") {
    b.OnSent(crashing, kT2);
    const bool explained = b.OnTargetLost(At(second), kT2, out);
    Deliver(At(second), out, a);
    const bool expected = second == 30'000;
    CHECK(explained == expected);
    CHECK(a.Blocked(crashing) == expected);
    CHECK(b.Blocked(crashing) == expected);
    CHECK_FALSE(b.Blocked(harmless));
    CHECK(b.TakeAdded().size() == (expected ? 1 : 0));
  }
  SECTION("a release is not reverted by delayed notices with a lower version") {
    b.OnSent(crashing, kT2);
    b.OnTargetLost(At(30'000), kT2, out);
    auto copies = out.Take();
    b.OnRecord(crashing, 2, false);
    CHECK_FALSE(b.Blocked(crashing));
    b.OnMessage(At(31'000), kOther, QuarantineNotice{crashing.value, 1, true}, out);
    CHECK_FALSE(b.Blocked(crashing));
  }
  SECTION("a request to which another target has responded is not blocked") {
    b.OnSent(harmless, kT2);
    b.OnFinished(At(100), harmless, kT2, true, out);
    Deliver(At(101), out, a);
    b.OnSent(harmless, kT2);
    b.OnTargetLost(At(200), kT2, out);
    Deliver(At(201), out, a);
    CHECK_FALSE(a.Blocked(harmless));
    CHECK_FALSE(b.Blocked(harmless));
  }
}

TEST_CASE("retries") {
  RetryPolicy policy;
  FailedAttempt attempt;
  attempt.repeatable = true;
  attempt.tried = {kT1};
  attempt.deadline = At(100);
  attempt.expected = Duration(10'000);

  SECTION("only for repeatable requests, on another target and before the deadline") {
    CHECK(policy.Decide(At(0), attempt, {kT1}) == RetryDecision::kNoOtherTarget);
    CHECK(policy.Decide(At(90), attempt, {kT1, kT2}) == RetryDecision::kPastDeadline);
    attempt.repeatable = false;
    CHECK(policy.Decide(At(0), attempt, {kT1, kT2}) == RetryDecision::kNotRepeatable);
  }
  SECTION("for at most a tenth of the requests, so that an outage does not multiply the load") {
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
      policy.OnRequest(attempt.account, attempt.service);
      retries += policy.Decide(At(0), attempt, {kT2}) == RetryDecision::kRetry ? 1 : 0;
    }
    CHECK(retries <= 101);
    CHECK(retries >= 99);
  }
}

}  // namespace dogwoodport
