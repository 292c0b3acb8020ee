#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/promises.h"

namespace dogwoodport::platform::standin {
namespace {

constexpr const char* kId = "r";
constexpr const char* kPath = "/stock/1";
constexpr const char* kAccount = "account";
constexpr const char* kService = "stock";

SentRequest MakeRequest(bool idempotent) {
  SentRequest request;
  request.id = kId;
  request.path = kPath;
  request.account = kAccount;
  request.idempotent = idempotent;
  request.services = {kService};
  return request;
}

ExecutedRequest MakeRun() {
  ExecutedRequest run;
  run.id = kId;
  run.path = kPath;
  run.account = kAccount;
  run.service = kService;
  return run;
}

struct RefusalCase {
  int status;
  std::size_t violations;
};

TEST_CASE("a request that runs before or after its refusal is reported", "[promises]") {
  const bool idempotent = GENERATE(false, true);
  const bool runs_first = GENERATE(false, true);
  const auto test_case = GENERATE(
      values<RefusalCase>({{408, 1}, {421, 1}, {429, 1}, {503, 1}, {500, 0}, {502, 0}, {504, 0}}));
  INFO("status " << test_case.status << ", idempotent " << idempotent << ", runs first "
                 << runs_first);
  GuaranteeChecker checker;
  checker.OnRequestSent(MakeRequest(idempotent));
  if (runs_first) checker.OnRequestRun(MakeRun());
  checker.OnResponseReceived(kId, test_case.status, false, TimePoint{});
  if (!runs_first) checker.OnRequestRun(MakeRun());
  CHECK(checker.violations().size() == test_case.violations);
}

}  // namespace
}  // namespace dogwoodport::platform::standin
