#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <catch2/catch.hpp>

#include "dogwoodport/log_service/http_log_service.h"
#include "dogwoodport/log_service/memory_log_service.h"
#include "dogwoodport/standin/log_server.h"

namespace dogwoodport {
namespace {

void Control(std::uint16_t port, const std::string& path, const std::string& body) {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  Poco::Net::HTTPRequest request("PUT", path, "HTTP/1.1");
  request.setContentLength(static_cast<std::streamsize>(body.size()));
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  session.receiveResponse(response);
  REQUIRE(response.getStatus() == 200);
}

LogFailure FailureOf(auto call) {
  try {
    call();
  } catch (const LogServiceError& e) {
    return e.failure();
  }
  FAIL("the call did not fail");
  return LogFailure::kMalformed;
}

HttpLogService Client(std::uint16_t port) {
  HttpLogSettings settings;
  settings.port = port;
  settings.answer_timeout = std::chrono::seconds(20);
  return HttpLogService(settings);
}

}  // namespace

TEST_CASE("log service over HTTP") {
  const standin::LogServer server({0, 1000});
  HttpLogService log = Client(server.port());

  SECTION("records come back with their offsets") {
    CHECK(log.Append({"a", "b"}) == 1);
    CHECK(log.Append({"c"}) == 3);
    const LogPage page = log.Read(2, 10);
    CHECK(page.first_retained == 1);
    CHECK(page.next == 4);
    CHECK(page.records == std::vector<LogRecord>{{2, "b"}, {3, "c"}});
    CHECK(log.Read(1, 1).records.size() == 1);
  }
  SECTION("an offset that is no longer retained is told apart from an outage") {
    // Guards against a reader that waits for the log although it has to reload a snapshot.
    log.Append({"a", "b", "c"});
    Control(server.port(), "/control/retained", R"({"records":1})");
    CHECK(FailureOf([&] { log.Read(1, 10); }) == LogFailure::kExpired);
    CHECK(log.FirstRetained() == 3);
  }
  SECTION("an append whose answer is lost is in the log") {
    // Guards against a writer that takes a lost answer for "not appended".
    Control(server.port(), "/control/faults", R"({"lost_answers":1})");
    CHECK(FailureOf([&] { log.Append({"a"}); }) == LogFailure::kResponseLost);
    CHECK(log.Read(1, 10).records.size() == 1);
    CHECK(log.Append({"b"}) == 2);
  }
  SECTION("an outage and its end are seen") {
    Control(server.port(), "/control/faults", R"({"down":true})");
    CHECK(FailureOf([&] { log.Append({"a"}); }) == LogFailure::kUnreachable);
    CHECK(FailureOf([&] { log.ListInstances(); }) == LogFailure::kUnreachable);
    Control(server.port(), "/control/faults", R"({"down":false})");
    CHECK(log.Append({"a"}) == 1);
  }
  SECTION("the list of instances is passed on") {
    Control(server.port(), "/v1/instances",
            R"({"instances":[{"id":"i1","data_centre":"howrah","state":"leaving"}]})");
    const auto list = log.ListInstances();
    REQUIRE(list.size() == 1);
    CHECK(list[0].id == "i1");
    CHECK(list[0].state == ListedState::kLeaving);
  }
  SECTION("an unknown state of an instance is an error, not a guess") {
    Control(server.port(), "/v1/instances",
            R"({"instances":[{"id":"i1","data_centre":"howrah","state":"asleep"}]})");
    CHECK(FailureOf([&] { log.ListInstances(); }) == LogFailure::kMalformed);
  }
}

TEST_CASE("a log service that nobody runs is unreachable") {
  std::uint16_t port = 0;
  {
    const standin::LogServer server({0, 10});
    port = server.port();
  }
  HttpLogService log = Client(port);
  CHECK(FailureOf([&] { log.Append({"a"}); }) == LogFailure::kUnreachable);
}

}  // namespace dogwoodport
