#include "dogwoodport/fleet/requests/request_fingerprint.h"
#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

net::HttpRequest Request(const std::string& method, const std::string& host,
                         const std::string& path, const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.host = host;
  request.target = path;
  request.body = body;
  return request;
}

TEST_CASE("requests with different method, host, path, body or account differ in fingerprint") {
  const Fingerprint known = FingerprintOf(Request("POST", "a", "/x?y=1", "body"), "account");
  CHECK(known == FingerprintOf(Request("POST", "a", "/x?y=1", "body"), "account"));
  const auto [method, host, path, body, account] =
      GENERATE(table<std::string, std::string, std::string, std::string, std::string>({
          {"PUT", "a", "/x?y=1", "body", "account"},
          {"POST", "b", "/x?y=1", "body", "account"},
          {"POST", "a", "/x?y=2", "body", "account"},
          {"POST", "a", "/x?y=1", "bodY", "account"},
          {"POST", "a", "/x?y=1", "", "account"},
          {"POST", "a", "/x?y=1", "body", "another"},
          {"POST", "a", "/x?y=1", "body", ""},
      }));
  CHECK(known != FingerprintOf(Request(method, host, path, body), account));
}

TEST_CASE("the log shows the same fingerprint when a request fails under another id") {
  ForwarderFixture fixture;
  const auto script = [](const std::string& /*request*/, std::size_t /*connection*/) {
    return net::Reaction{"", net::Reaction::End::kReset};
  };
  fixture.AddTarget("t1", script);
  fixture.Call("/write/x", "a");
  const nlohmann::json first = fixture.log.last["attempt_failed"];
  fixture.Call("/write/x", "b");
  const nlohmann::json second = fixture.log.last["attempt_failed"];
  fixture.Call("/write/y", "c");
  const nlohmann::json other = fixture.log.last["attempt_failed"];
  CHECK(first.at("request_id") != second.at("request_id"));
  CHECK(first.at("fingerprint") == second.at("fingerprint"));
  CHECK(first.at("fingerprint") != other.at("fingerprint"));
  CHECK(fixture.forwarder.counters().lost_attempts == 3);
}

}  // namespace
}  // namespace dogwoodport::fleet
