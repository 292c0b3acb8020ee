#include <catch2/catch.hpp>

#include "dogwoodport/platform/duration_text.h"
#include "dogwoodport/platform/wire_protocol.h"

namespace dogwoodport::platform {
namespace {

using std::chrono::milliseconds;

net::HttpRequest MakeRequest(const std::vector<std::pair<std::string, std::string>>& fields) {
  net::HttpRequest request;
  for (const auto& [name, value] : fields) request.fields.Add(name, value);
  return request;
}

struct AuthorizationExample {
  const char* description;
  std::vector<std::string> values;
  std::optional<std::string> secret;
  bool malformed;
};

TEST_CASE("one secret is read if its scheme is known, regardless of case", "[wire_protocol]") {
  const auto example = GENERATE(values<AuthorizationExample>({
      {"the scheme", {"Token abc"}, "abc", false},
      {"another case", {"token abc"}, "abc", false},
      {"another scheme", {"Bearer abc"}, std::nullopt, true},
      {"two fields", {"Token abc", "Token def"}, "abc", true},
      {"none", {}, std::nullopt, false},
  }));
  INFO(example.description);
  net::HttpRequest request;
  for (const std::string& value : example.values) request.fields.Add("Authorization", value);
  const fleet::CallerFields caller = WireProtocol().ReadCaller(request);
  CHECK(caller.secret == example.secret);
  CHECK(caller.secret_malformed == example.malformed);
}

struct DeadlineExample {
  std::string text;
  std::optional<Duration> value;
  bool malformed;
};

TEST_CASE("the deadline field must be a non-negative number of milliseconds", "[wire_protocol]") {
  const auto example = GENERATE(values<DeadlineExample>({
      {"1200", milliseconds(1200), false},
      {"0", milliseconds(0), false},
      {"-5", std::nullopt, true},
      {"12s", std::nullopt, true},
      {"", std::nullopt, true},
      {"99999999999999999999", std::nullopt, true},
  }));
  INFO(example.text);
  const fleet::CallerFields caller =
      WireProtocol().ReadCaller(MakeRequest({{"X-Dogwoodport-Deadline-Ms", example.text}}));
  CHECK(caller.caller_timeout == example.value);
  CHECK(caller.caller_timeout_malformed == example.malformed);
}

TEST_CASE("a forwarded request contains the account but not the secret", "[wire_protocol]") {
  net::HttpRequest request = MakeRequest({{"Host", "a"},
                                          {"Authorization", "Token abc"},
                                          {"X-Dogwoodport-Tenant-Id", "forged"},
                                          {"X-Dogwoodport-Expected-Instance", "forged"},
                                          {"X-Dogwoodport-Deadline-Ms", "9000"},
                                          {"X-Dogwoodport-Request-Id", "r1"},
                                          {"X-Other", "kept"}});
  WireProtocol().PrepareRequest(request, {milliseconds(700), "t1", "acme"});
  CHECK(request.fields.Find("Authorization") == nullptr);
  CHECK(request.fields.Count("X-Dogwoodport-Tenant-Id") == 1);
  CHECK(*request.fields.Find("X-Dogwoodport-Tenant-Id") == "acme");
  CHECK(request.fields.Count("X-Dogwoodport-Expected-Instance") == 1);
  CHECK(*request.fields.Find("X-Dogwoodport-Expected-Instance") == "t1");
  CHECK(*request.fields.Find("X-Dogwoodport-Deadline-Ms") == "700");
  CHECK(*request.fields.Find("X-Dogwoodport-Request-Id") == "r1");
  CHECK(*request.fields.Find("X-Other") == "kept");
  WireProtocol().PrepareRequest(request, {milliseconds(700), "t1", ""});
  CHECK(request.fields.Find("X-Dogwoodport-Tenant-Id") == nullptr);
}

TEST_CASE("fields of the platform cannot be declared to concern one connection",
          "[wire_protocol]") {
  const auto [field, expected] = GENERATE(table<std::string, bool>({
      {"X-Dogwoodport-Tenant-Id", true},
      {"x-dogwoodport-request-id", true},
      {"X-DOGWOODPORT-RESPONSE-SIGNATURE", true},
      {"Retry-After", true},
      {"Server-Leaving", true},
      {"Server-Limit", true},
      {"X-Dogwood", false},
      {"Keep-Alive", false},
      {"X-Private", false},
  }));
  INFO(field);
  CHECK(WireProtocol().IsEndToEnd(field) == expected);
}

TEST_CASE("a response contains its request id, whether the request ran, and the load",
          "[wire_protocol]") {
  net::HttpResponse response;
  response.fields.Add("X-Dogwoodport-Request-Id", "r1");
  response.fields.Add("X-Dogwoodport-Not-Executed", "1");
  response.fields.Add("X-Dogwoodport-Server-Load", "3,1,8,250");
  const fleet::ResponseFields response_fields = WireProtocol().ReadResponse(response);
  CHECK(response_fields.request_id == "r1");
  CHECK(response_fields.not_run);
  CHECK_FALSE(response_fields.has_signature);
  REQUIRE(response_fields.load);
  CHECK(response_fields.load->running == 3);
  CHECK(response_fields.load->waiting == 1);
  CHECK(response_fields.load->slots == 8);
  CHECK(response_fields.load->slowdown == 2.5);
  net::HttpResponse other;
  other.fields.Add("X-Dogwoodport-Server-Load", "busy");
  CHECK_FALSE(WireProtocol().ReadResponse(other).load);
}

struct LoadNoticeExample {
  int status;
  std::vector<std::pair<std::string, std::string>> fields;
  bool leaving;
  std::optional<Duration> back_off;
};

TEST_CASE("a response may announce that its target is leaving or request a back-off",
          "[wire_protocol]") {
  const auto example = GENERATE(values<LoadNoticeExample>({
      {200, {}, false, std::nullopt},
      {200, {{"Server-Leaving", "1"}}, true, std::nullopt},
      {503, {{"server-leaving", "1"}, {"Retry-After", "2"}}, true, milliseconds(2000)},
      {503, {{"Retry-After", "0.5"}}, false, milliseconds(500)},
      {503, {{"Retry-After", "0"}}, false, std::nullopt},
      {503, {{"Retry-After", "-3"}}, false, std::nullopt},
      {503, {{"Retry-After", "nan"}}, false, std::nullopt},
      {503, {{"Retry-After", "Fri, 04 Dec 2026 09:00:00 GMT"}}, false, std::nullopt},
      {503, {{"Retry-After", "99999999999"}}, false, std::chrono::seconds(60)},
      {500, {{"Retry-After", "2"}}, false, std::nullopt},
      {200, {{"Server-Leaving", "0"}}, false, std::nullopt},
  }));
  net::HttpResponse response;
  response.status = example.status;
  for (const auto& [name, value] : example.fields) response.fields.Add(name, value);
  const fleet::ResponseFields response_fields = WireProtocol().ReadResponse(response);
  CHECK(response_fields.leaving == example.leaving);
  CHECK(response_fields.back_off == example.back_off);
}

struct LimitExample {
  std::optional<std::string> field;
  std::optional<double> limit;
  bool malformed;
};

TEST_CASE("a response may name the rate that its target takes from all instances together",
          "[wire_protocol]") {
  const auto example = GENERATE(values<LimitExample>({
      {std::nullopt, std::nullopt, false},
      {"27.5", 27.5, false},
      {"0.25", 0.25, false},
      {"3", 3.0, false},
      {"0", 0.0, false},
      {"-1", std::nullopt, true},
      {"nan", std::nullopt, true},
      {"inf", std::nullopt, true},
      {"", std::nullopt, true},
      {"5 per second", std::nullopt, true},
  }));
  net::HttpResponse response;
  response.status = 200;
  if (example.field) response.fields.Add("Server-Limit", *example.field);
  const fleet::ResponseFields response_fields = WireProtocol().ReadResponse(response);
  CHECK(response_fields.request_limit == example.limit);
  CHECK(response_fields.request_limit_malformed == example.malformed);
}

TEST_CASE("an error response states whether the request ran and when to retry", "[wire_protocol]") {
  const net::HttpResponse refusal =
      WireProtocol().MakeResponse(503, "overloaded", false, "r1", milliseconds(250));
  CHECK(*refusal.fields.Find("Retry-After") == "0.250");
  CHECK(refusal.body == R"({"code":"overloaded","request_id":"r1","run":"no"})");
  const net::HttpResponse failure =
      WireProtocol().MakeResponse(502, "target_failed", true, "r1", Duration{0});
  CHECK(failure.fields.Find("Retry-After") == nullptr);
  CHECK(failure.body.find(R"("run":"unknown")") != std::string::npos);
}

TEST_CASE("grants and releases contain the id of the expected target", "[wire_protocol]") {
  fleet::TargetEntry target;
  target.id = "t1";
  target.address = "10.0.0.1:80";
  const fleet::Grant grant{4096, 8191, 12, milliseconds(4000), "proof"};
  const net::HttpRequest call = WireProtocol().MakeGrant(target, grant);
  CHECK(call.target == "/grant");
  CHECK(*call.fields.Find("X-Dogwoodport-Expected-Instance") == "t1");
  CHECK(call.body ==
        R"({"fence":12,"from":4096,"handover":"proof","hold_time":"4000ms","target":8191})");
  const net::HttpRequest release = WireProtocol().MakeRelease(target, grant);
  CHECK(release.target == "/release");
  CHECK(release.body == R"({"fence":12,"from":4096,"target":8191})");
}

TEST_CASE("the id of a grant or release is the one that targets repeat", "[wire_protocol]") {
  net::HttpRequest call = WireProtocol().MakeRelease(fleet::TargetEntry{}, fleet::Grant{});
  WireProtocol().SetCallId(call, "i1-7");
  const std::string* const id = call.fields.Find("X-Dogwoodport-Request-Id");
  REQUIRE(id != nullptr);
  CHECK(*id == "i1-7");
  net::HttpResponse response;
  response.fields.Add("X-Dogwoodport-Request-Id", *id);
  CHECK(WireProtocol().ReadResponse(response).request_id == "i1-7");
}

struct DurationExample {
  const char* text;
  std::optional<Duration> value;
};

TEST_CASE("a duration consists of a number and a unit", "[wire_protocol]") {
  const auto example = GENERATE(values<DurationExample>({{"1500ms", milliseconds(1500)},
                                                         {"2.5s", milliseconds(2500)},
                                                         {"0ms", Duration{0}},
                                                         {"5", std::nullopt},
                                                         {"5m", std::nullopt},
                                                         {"-1s", std::nullopt},
                                                         {"s", std::nullopt},
                                                         {"1e9s", std::nullopt}}));
  INFO(example.text);
  CHECK(ParseDuration(example.text) == example.value);
}

}  // namespace
}  // namespace dogwoodport::platform
