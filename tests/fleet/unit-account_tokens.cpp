#include <catch2/catch.hpp>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "fleet/account_fleet.h"

namespace dogwoodport::fleet {
namespace {

using Verdict = AccountTokens::Verdict;

/// A coordinator "c", a relay "r" that borrows from the coordinator, and a member "m" that borrows
/// from the relay.
struct Chain {
  Chain() {
    Init(coordinator, "c");
    Init(relay, "r");
    Init(member, "m");
    LendingStart start;
    start.generation = 1;
    start.first = true;
    start.took_over_at = start.confirmed_at = At(0);
    coordinator.BecomeCoordinator(start);
    relay.SetLenders({"c"}, 1, LoanRole::kRelay);
    member.SetLenders({"r"}, 1, LoanRole::kMember);
    relay.Tick(At(0));
    for (const LoanMessage& message : relay.TakeMessages()) Deliver(message, At(0));
    Exchange(At(0));
  }

  static void Init(AccountTokens& tokens, const std::string& address) {
    tokens.SetIdentity(address, 7);
    tokens.Configure("a", 50, 50);
  }

  AccountTokens& ByAddress(const std::string& address) {
    if (address == "c") return coordinator;
    return address == "r" ? relay : member;
  }

  /// Ticks all instances and delivers their messages, in enough rounds for requests and grants to
  /// pass through the relay.
  void Exchange(TimePoint now) {
    for (int i = 0; i < 8; ++i) {
      for (AccountTokens* it : {&member, &relay, &coordinator}) {
        it->Tick(now);
        for (const LoanMessage& message : it->TakeMessages()) Deliver(message, now);
      }
    }
  }
  void Deliver(const LoanMessage& message, TimePoint now) {
    if (const auto* const request = std::get_if<LoanRequest>(&message.body)) {
      ByAddress(message.to).OnRequest(*request, now);
    } else {
      grants.push_back(message);
      ByAddress(message.to).OnGrant(std::get<LoanGrant>(message.body), now);
    }
  }

  /// Returns whether a request is admitted, at once or after waiting for one exchange of messages.
  bool AdmitWaiting(AccountTokens& tokens, TimePoint now) {
    const Verdict first = tokens.Admit("a", false, now).verdict;
    if (first != Verdict::kWait) return first == Verdict::kAdmitted;
    tokens.SetWaiting("a", 1);
    Exchange(now);
    const bool admitted = tokens.Admit("a", true, now).verdict == Verdict::kAdmitted;
    tokens.SetWaiting("a", 0);
    return admitted;
  }

  AccountTokens coordinator{kTolerance};
  AccountTokens relay{kTolerance};
  AccountTokens member{kTolerance};
  std::vector<LoanMessage> grants;
};

TEST_CASE("the token caps and the accrual add up to the account limit", "[account_tokens]") {
  for (const double rate : {1.0, 10.0, 569.0}) {
    double sum = AccrualRate(rate, 2 * rate, kTolerance) * 5;
    for (int takeovers = 0; takeovers < 60; ++takeovers) {
      sum += TokenCap(rate, 2 * rate, kTolerance, takeovers);
    }
    CHECK(sum == Approx((rate * 5 + 2 * rate) * 1.1 + 20));
  }
}

TEST_CASE("a member of a data centre gets tokens through its relay", "[account_tokens]") {
  Chain it;
  CHECK(it.AdmitWaiting(it.member, At(1)));
  CHECK(it.AdmitWaiting(it.relay, At(1)));
  CHECK(it.coordinator.Admit("a", false, At(1)).verdict == Verdict::kAdmitted);
}

TEST_CASE("an idle relay can still lend", "[account_tokens]") {
  Chain it;
  for (int i = 0; i < 100; ++i) {
    it.coordinator.ConfirmRole(At(0.1 * i));
    it.Exchange(At(0.1 * i));
  }
  CHECK(it.AdmitWaiting(it.member, At(10)));
}

TEST_CASE("a duplicated or delayed grant counts once", "[account_tokens]") {
  Chain it;
  it.relay.SetWaiting("a", 6);
  it.Exchange(At(1));
  it.relay.SetWaiting("a", 0);
  const std::uint32_t held = it.relay.FreeTokens("a", At(1));
  REQUIRE(held >= 6);
  const std::vector<LoanMessage> grants = it.grants;
  for (int i = 0; i < 3; ++i) {
    for (const LoanMessage& grant : grants) it.Deliver(grant, At(1.5));
  }
  CHECK(it.relay.FreeTokens("a", At(1.5)) == held);
  SECTION("a restarted borrower ignores grants for its earlier incarnation") {
    AccountTokens fresh(kTolerance);
    fresh.SetIdentity("r", 8);
    fresh.Configure("a", 50, 50);
    for (const LoanMessage& grant : grants) fresh.OnGrant(std::get<LoanGrant>(grant.body), At(2));
    CHECK(fresh.FreeTokens("a", At(2)) == 0);
  }
  SECTION("a grant is not counted after it has expired") {
    CHECK(it.relay.FreeTokens("a", At(6)) == 0);
    for (const LoanMessage& grant : grants) it.Deliver(grant, At(6));
    CHECK(it.relay.FreeTokens("a", At(6)) == 0);
  }
}

TEST_CASE("tokens held by a lost borrower count as used", "[account_tokens]") {
  Chain it;
  it.relay.SetWaiting("a", 20);
  it.Exchange(At(1));
  const std::uint32_t remaining = it.coordinator.FreeTokens("a", At(1));
  REQUIRE(it.relay.FreeTokens("a", At(1)) == 20);
  // The restarted relay requests tokens. Those of its earlier incarnation must not be lent again.
  AccountTokens fresh(kTolerance);
  fresh.SetIdentity("r", 8);
  fresh.Configure("a", 50, 50);
  fresh.SetLenders({"c"}, 1, LoanRole::kRelay);
  fresh.Tick(At(1.01));
  for (const LoanMessage& message : fresh.TakeMessages()) {
    it.coordinator.OnRequest(std::get<LoanRequest>(message.body), At(1.01));
  }
  CHECK(it.coordinator.FreeTokens("a", At(1.01)) <= remaining + 1);
}

TEST_CASE("a coordinator does not lend without a recent confirmation of its role",
          "[account_tokens]") {
  Chain it;
  CHECK(it.coordinator.MayLend(At(1.1)));
  CHECK_FALSE(it.coordinator.MayLend(At(1.3)));
  CHECK(it.coordinator.FreeTokens("a", At(1.3)) == 0);
  CHECK(it.coordinator.Admit("a", false, At(1.3)).verdict == Verdict::kNoLender);
  it.coordinator.ConfirmRole(At(1.2));
  CHECK(it.coordinator.MayLend(At(1.3)));
}

TEST_CASE("a new coordinator waits until its predecessor no longer lends", "[account_tokens]") {
  Chain it;
  it.coordinator.StepDown(At(1));
  LendingStart start;
  start.generation = 2;
  start.predecessor = "c";
  start.predecessor_generation = 1;
  start.took_over_at = start.confirmed_at = At(1);
  it.relay.BecomeCoordinator(start);
  it.relay.ConfirmRole(At(3));
  CHECK_FALSE(it.relay.MayLend(At(1.5)));
  CHECK(it.relay.FreeTokens("a", At(1.5)) == 0);
  CHECK(it.relay.MayLend(At(2.5)));
  SECTION("it stops waiting when the predecessor reports that it no longer lends") {
    it.coordinator.SetLenders({"r"}, 2, LoanRole::kBorrower);
    it.coordinator.SetWaiting("a", 1);
    it.Exchange(At(1.5));
    CHECK(it.relay.MayLend(At(1.5)));
  }
  SECTION("it keeps waiting when the predecessor has restarted") {
    AccountTokens fresh(kTolerance);
    fresh.SetIdentity("c", 8);
    fresh.Configure("a", 50, 50);
    fresh.SetLenders({"r"}, 2, LoanRole::kBorrower);
    fresh.SetWaiting("a", 1);
    fresh.Tick(At(1.5));
    for (const LoanMessage& message : fresh.TakeMessages()) it.Deliver(message, At(1.5));
    CHECK_FALSE(it.relay.MayLend(At(1.5)));
  }
}

TEST_CASE("a relay that becomes the coordinator does not use tokens that it has lent",
          "[account_tokens]") {
  Chain it;
  it.member.SetWaiting("a", 10);
  it.Exchange(At(1));
  REQUIRE(it.member.FreeTokens("a", At(1)) >= 10);
  const std::uint32_t own = it.relay.FreeTokens("a", At(1));
  LendingStart start;
  start.generation = 2;
  start.took_over_at = start.confirmed_at = At(1);
  it.relay.BecomeCoordinator(start);
  CHECK(it.relay.FreeTokens("a", At(1)) <= own);
}

TEST_CASE("a request is refused at once if there is no lender", "[account_tokens]") {
  Chain it;
  it.member.SetLenders({}, 1, LoanRole::kMember);
  const AccountTokens::Decision decision = it.member.Admit("a", false, At(1));
  CHECK(decision.verdict == Verdict::kNoLender);
  CHECK(decision.retry_after > Duration{0});
  SECTION("a request is refused after the lender has not responded for a while") {
    it.member.SetLenders({"nobody"}, 1, LoanRole::kMember);
    CHECK(it.member.Admit("a", false, At(1)).verdict == Verdict::kWait);
    it.member.Tick(At(1));
    CHECK(it.member.Admit("a", true, At(1.2)).verdict == Verdict::kWait);
    CHECK(it.member.Admit("a", true, At(1.4)).verdict == Verdict::kNoLender);
  }
}

TEST_CASE("a lost grant is repeated without a request for the account", "[account_tokens]") {
  Chain it;
  it.relay.SetWaiting("a", 3);
  it.relay.Tick(At(1));
  for (const LoanMessage& message : it.relay.TakeMessages()) it.Deliver(message, At(1));
  REQUIRE(it.coordinator.TakeMessages().size() == 1);
  it.relay.SetWaiting("a", 0);
  const std::uint32_t remaining = it.coordinator.FreeTokens("a", At(1));
  it.coordinator.ConfirmRole(At(1));
  it.relay.Tick(At(2));
  for (const LoanMessage& message : it.relay.TakeMessages()) it.Deliver(message, At(2));
  it.coordinator.ConfirmRole(At(2));
  it.Exchange(At(2.2));
  it.Exchange(At(2.4));
  // The relay has no waiting requests, so it returns the tokens.
  CHECK(it.relay.FreeTokens("a", At(2.4)) == 0);
  CHECK(it.coordinator.FreeTokens("a", At(2.4)) >= remaining + 3);
}

TEST_CASE("an unmet prefetch target does not count as waiting requests", "[account_tokens]") {
  LoanBook book;
  LoanRequest request;
  request.borrower = "r";
  LoanLine line;
  line.account = 1;
  line.needed = 2;
  line.prefetch = 30;
  request.lines = {line};
  REQUIRE(book.Receive(request, true, At(0)));
  CHECK(book.Find("r", 1)->unmet_need() == 2);
  book.Lend("r", 1, 2);
  CHECK(book.Find("r", 1)->unmet_need() == 0);
  CHECK(book.Find("r", 1)->unmet_total() == 30);
  // Tokens that the borrower has lent to others are not available to its own requests.
  request.session = book.MakeGrant("r", {1}, Duration{1'000'000}, At(2)).session;
  request.lines[0].lent = 2;
  REQUIRE(book.Receive(request, true, At(1)));
  CHECK(book.Find("r", 1)->unmet_need() == 2);
}

TEST_CASE("a refusal includes a retry time", "[account_tokens]") {
  Chain it;
  AccountTokens::Decision decision;
  for (int i = 0; i < 200; ++i) decision = it.coordinator.Admit("a", false, At(1));
  for (int i = 0; i < 20; ++i) {
    it.coordinator.SetWaiting("a", static_cast<std::size_t>(i));
    decision = it.coordinator.Admit("a", false, At(1));
  }
  CHECK(decision.verdict == Verdict::kOverLimit);
  CHECK(decision.retry_after >= std::chrono::milliseconds(100));
  CHECK(decision.retry_after <= std::chrono::seconds(2));
  CHECK(it.coordinator.Admit("unknown", false, At(1)).verdict == Verdict::kAdmitted);
}

}  // namespace
}  // namespace dogwoodport::fleet
