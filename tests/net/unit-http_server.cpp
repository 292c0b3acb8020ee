#include <catch2/catch.hpp>

#include "net/http_world.h"

namespace dogwoodport::net {
namespace {

std::string Get(const std::string& path, const std::string& fields = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

TEST_CASE("responses to pipelined requests are sent in request order", "[http_server]") {
  HttpFixture fixture;
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 3; }));
  fixture.exchanges[2]->Respond(HttpFixture::Text("third"));
  fixture.exchanges[0]->Respond(HttpFixture::Text("first"));
  CHECK(client.received.empty());
  fixture.exchanges[1]->Respond(HttpFixture::Text("second"));
  REQUIRE(fixture.RunUntil([&] { return client.received.find("third") != std::string::npos; }));
  CHECK(client.received.find("first") < client.received.find("second"));
  CHECK(client.received.find("second") < client.received.find("third"));
  CHECK(fixture.server.open_requests() == 0);
}

TEST_CASE("a client disconnect before the response is reported", "[http_server]") {
  HttpFixture fixture;
  auto client = std::make_unique<RawClient>(fixture.loop, fixture.server.address());
  client->stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  bool abandoned = false;
  fixture.exchanges[0]->set_on_abandoned([&] { abandoned = true; });
  client.reset();
  CHECK(fixture.RunUntil([&] { return abandoned; }));
  CHECK(fixture.server.open_requests() == 0);
  fixture.exchanges[0]->Respond(HttpFixture::Text("late"));
}

TEST_CASE("a drain completes open requests and closes idle connections", "[http_server]") {
  HttpFixture fixture;
  RawClient busy(fixture.loop, fixture.server.address());
  RawClient idle(fixture.loop, fixture.server.address());
  busy.stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.exchanges.size() == 1 && fixture.server.open_connections() == 2; }));
  fixture.server.Drain();
  REQUIRE(fixture.RunUntil([&] { return idle.ended; }));
  CHECK_FALSE(busy.ended);
  fixture.exchanges[0]->Respond(HttpFixture::Text("done"));
  REQUIRE(fixture.RunUntil([&] { return busy.ended; }));
  CHECK(busy.end_reason == StreamEnd::kClosed);
  CHECK(busy.received.find("Connection: close") != std::string::npos);
  CHECK(busy.received.find("done") != std::string::npos);
}

/// Larger than what the operating system buffers for a connection of `SlowClient`.
constexpr std::size_t kLargeBodyBytes = 32'000'000;

/// A client that pauses each time it has read a number of bytes, however fast it reads them. The
/// system does not enlarge its receive buffer, which could otherwise hold a whole large body.
class SlowClient : public RawClient {
 public:
  SlowClient(EventLoop& loop, const std::string& address)
      : RawClient(loop, Connect(address)), loop_(loop) {}
  ~SlowClient() override { loop_.Cancel(timer_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void StopReading() {
    loop_.Cancel(timer_);
    stream->SetReading(false);
  }
  /// Reads `step_bytes` before each pause of `pause`.
  void ReadInSteps(std::size_t step_bytes, Duration pause) {
    step_bytes_ = step_bytes;
    pause_ = pause;
    StartStep();
  }
  void ReadWithoutPause() { ReadInSteps(kLargeBodyBytes * 2, Duration{0}); }

  void OnInput() override {
    RawClient::OnInput();
    if (received.size() < step_end_) return;
    StopReading();
    timer_ = loop_.RunAfter(pause_, [this] { StartStep(); });
  }

 private:
  static constexpr int kReceiveBufferBytes = 512 * 1024;

  static Poco::Net::StreamSocket Connect(const std::string& address) {
    const Poco::Net::SocketAddress to(address);
    Poco::Net::StreamSocket socket;
    socket.init(to.af());
    socket.setReceiveBufferSize(kReceiveBufferBytes);
    socket.connect(to);
    return socket;
  }

  void StartStep() {
    loop_.Cancel(timer_);
    step_end_ = received.size() + step_bytes_;
    stream->SetReading(true);
  }

  EventLoop& loop_;
  std::size_t step_bytes_ = kLargeBodyBytes * 2;
  std::size_t step_end_ = kLargeBodyBytes * 2;
  Duration pause_{0};
  TimerId timer_;
};

TEST_CASE("a response that its client reads slowly is sent completely", "[http_server]") {
  const bool drains = GENERATE(true, false);
  CAPTURE(drains);
  HttpFixture fixture;
  fixture.server.limits().idle_timeout = std::chrono::milliseconds(1'000);
  SlowClient slow(fixture.loop, fixture.server.address());
  slow.stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  slow.StopReading();
  fixture.exchanges[0]->Respond(HttpFixture::Text(std::string(kLargeBodyBytes, 'x')));
  if (drains) {
    fixture.server.Drain();
    CHECK(fixture.server.open_connections() == 0);
    CHECK(fixture.server.HasUnsentResponses());
  }
  // Reading takes longer than the idle timeout, or than a closed connection may make no progress.
  const Duration reading_time = std::chrono::milliseconds(drains ? 5'500 : 2'500);
  slow.ReadInSteps(256UL * 1024, std::chrono::milliseconds(100));
  fixture.loop.RunAfter(reading_time, [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  REQUIRE(slow.received.size() < kLargeBodyBytes);
  CHECK(fixture.server.HasUnsentResponses() == drains);
  CHECK(fixture.server.open_connections() == (drains ? 0 : 1));
  slow.ReadWithoutPause();
  REQUIRE(RunUntil(
      fixture.loop, [&] { return slow.received.size() > kLargeBodyBytes; },
      std::chrono::seconds(30)));
  CHECK_FALSE(fixture.server.HasUnsentResponses());
}

TEST_CASE("a client that stops reading does not keep its response", "[http_server]") {
  HttpFixture fixture;
  SlowClient stalled(fixture.loop, fixture.server.address());
  stalled.stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  stalled.StopReading();
  fixture.exchanges[0]->Respond(HttpFixture::Text(std::string(kLargeBodyBytes, 'x')));
  fixture.server.Drain();
  CHECK(fixture.server.HasUnsentResponses());
  CHECK(RunUntil(
      fixture.loop, [&] { return !fixture.server.HasUnsentResponses(); },
      std::chrono::seconds(12)));
}

TEST_CASE("a new connection evicts the one that has been idle longest", "[http_server]") {
  HttpFixture fixture;
  fixture.server.limits().max_connections = 2;
  RawClient first(fixture.loop, fixture.server.address());
  REQUIRE(fixture.RunUntil([&] { return fixture.server.open_connections() == 1; }));
  RawClient second(fixture.loop, fixture.server.address());
  REQUIRE(fixture.RunUntil([&] { return fixture.server.open_connections() == 2; }));
  first.stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  RawClient third(fixture.loop, fixture.server.address());
  REQUIRE(fixture.RunUntil([&] { return second.ended; }));
  CHECK_FALSE(first.ended);
  third.stream->Write(Get("/3"));
  CHECK(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
}

TEST_CASE("connections close after a refusal when many are open", "[http_server]") {
  const auto refused = GENERATE(true, false);
  HttpFixture fixture;
  fixture.server.limits().max_connections = 2;
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write(Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  HttpResponse response = HttpFixture::Text("x");
  response.status = refused ? 503 : 200;
  fixture.exchanges[0]->Respond(response);
  REQUIRE(fixture.RunUntil([&] { return client.received.find("\r\n\r\nx") != std::string::npos; }));
  CHECK((client.received.find("Connection: close") != std::string::npos) == refused);
}

TEST_CASE("a header section that times out gets a 408 response", "[http_server]") {
  HttpFixture fixture;
  fixture.server.limits().header_timeout = std::chrono::milliseconds(50);
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write("GET / HT");
  REQUIRE(fixture.RunUntil([&] { return client.ended; }));
  CHECK(client.received.find("HTTP/1.1 408") == 0);
}

TEST_CASE("a body that times out gets a 408 response", "[http_server]") {
  HttpFixture fixture;
  fixture.server.limits().body_timeout = std::chrono::milliseconds(60);
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  REQUIRE(fixture.RunUntil([&] { return client.ended; }));
  CHECK(client.received.rfind("HTTP/1.1 408", 0) == 0);
  CHECK(fixture.exchanges.empty());
}

TEST_CASE("request bodies stay within their memory budget and other requests are served",
          "[http_server]") {
  HttpFixture fixture;
  const BodyBudgetPtr budget(new BodyBudget(400'000));
  fixture.server.limits().message.bodies = budget;
  const bool endless = GENERATE(true, false);
  std::vector<std::unique_ptr<RawClient>> clients;
  const std::string part(90'000, 'x');
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<RawClient>(fixture.loop, fixture.server.address()));
    clients.back()->stream->Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                  std::string(endless ? "9000000" : "95000") + "\r\n\r\n" + part);
    if (endless) clients.back()->stream->Write(part);
  }
  const auto refused = [&] {
    return std::count_if(clients.begin(), clients.end(),
                         [](const auto& it) { return it->received.rfind("HTTP/1.1 503", 0) == 0; });
  };
  REQUIRE(fixture.RunUntil([&] { return refused() >= (endless ? 12 : 8); }));
  CHECK(budget->used() <= 400'000);
  RawClient other(fixture.loop, fixture.server.address());
  other.stream->Write(Get("/other"));
  CHECK(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  // The budget is released with the connections.
  clients.clear();
  CHECK(fixture.RunUntil([&] { return budget->used() == 0; }));
}

TEST_CASE("requests received when a drain begins get responses", "[http_server][planned_stop]") {
  HttpFixture fixture;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<RawClient>(fixture.loop, fixture.server.address()));
  }
  // Some connections are idle, one has sent part of a request, and one may not be accepted yet.
  REQUIRE(fixture.RunUntil([&] { return fixture.server.open_connections() == 8; }));
  clients[0]->stream->Write("GET /0 HTT");
  REQUIRE(fixture.RunUntil([&] { return clients[0]->stream->flushed(); }));
  fixture.loop.RunAfter(std::chrono::milliseconds(20), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  for (std::size_t i = 1; i < 4; ++i) clients[i]->stream->Write(Get("/" + std::to_string(i)));
  RawClient late(fixture.loop, fixture.server.address());
  late.stream->Write(Get("/late"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() >= 3; }));
  fixture.server.Drain();
  clients[0]->stream->Write("P/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 5; }));
  for (const ExchangePtr& it : fixture.exchanges) it->Respond(HttpFixture::Text("done"));
  REQUIRE(fixture.RunUntil([&] { return late.ended && clients[0]->ended; }));
  const auto has_response = [](const RawClient& it) {
    return it.received.find("\r\n\r\ndone") != std::string::npos;
  };
  for (std::size_t i = 0; i < 4; ++i) CHECK(has_response(*clients[i]));
  CHECK(has_response(late));
}

TEST_CASE("a response to HEAD keeps the length and has no body", "[http_server]") {
  HttpFixture fixture;
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + Get("/2"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
  HttpResponse response;
  response.status = 200;
  response.fields.Add("Content-Length", "17");
  fixture.exchanges[0]->Respond(response);
  fixture.exchanges[1]->Respond(HttpFixture::Text("second"));
  REQUIRE(fixture.RunUntil([&] { return client.received.find("second") != std::string::npos; }));
  CHECK(client.received.find("Content-Length: 17\r\n\r\nHTTP/1.1 200") != std::string::npos);
}

TEST_CASE("a client that waits for 100 Continue receives it", "[http_server]") {
  HttpFixture fixture;
  RawClient client(fixture.loop, fixture.server.address());
  client.stream->Write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(
      fixture.RunUntil([&] { return client.received.find("100 Continue") != std::string::npos; }));
  client.stream->Write("abc");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  CHECK(fixture.exchanges[0]->request().body == "abc");
}

}  // namespace
}  // namespace dogwoodport::net
