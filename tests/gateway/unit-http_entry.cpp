#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <random>
#include <thread>

#include "dogwoodport/core/refusal.h"
#include "dogwoodport/gateway/http_entry.h"

namespace dogwoodport {
namespace {

Reply Echo(const EntryRequest& in) {
  Reply reply;
  reply.run = RunState::kYes;
  reply.answer = {200, {{"Content-Type", "text/plain"}}, in.request.uri + "|" + in.request.body};
  return reply;
}

EntrySettings Small() {
  EntrySettings settings;
  settings.max_header_bytes = 2000;
  settings.max_body_bytes = 1000;
  settings.header_timeout = std::chrono::milliseconds(300);
  settings.body_timeout = std::chrono::milliseconds(300);
  settings.idle_timeout = std::chrono::seconds(60);
  return settings;
}

/// Sends bytes and returns all that comes back until the entry closes.
std::string Exchange(std::uint16_t port, const std::string& bytes, bool finish = true) {
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
  socket.setReceiveTimeout(Poco::Timespan(60, 0));
  std::string out;
  try {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (finish) socket.shutdownSend();
    std::array<char, 4096> buf{};
    for (;;) {
      const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
      if (n <= 0) break;
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
  } catch (const Poco::Net::NetException&) {  // NOLINT(bugprone-empty-catch)
    // The entry may reset the connection after its answer.
  }
  return out;
}

std::string StatusOf(const std::string& answer) { return answer.substr(0, 12); }

}  // namespace

TEST_CASE("broken requests get a clear 4xx with run state no") {
  struct Case {
    const char* name;
    std::string bytes;
    const char* status;
    const char* code;
  };
  const std::vector<Case> cases = {
      {"no HTTP", "garbage\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "HTTP/1.1 400", "malformed_request"},
      {"length and coding",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "HTTP/1.1 400", "malformed_request"},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400",
       "malformed_request"},
      {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400",
       "malformed_request"},
      {"cut body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 400",
       "malformed_request"},
      {"absolute target", "GET http://x/ HTTP/1.1\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
      {"large body", "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "HTTP/1.1 413",
       "body_too_large"},
      {"large header", "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
       "HTTP/1.1 431", "header_too_large"},
  };
  HttpEntry entry(Small(), "t", Echo);
  for (const Case& c : cases) {
    const std::string answer = Exchange(entry.port(), c.bytes);
    INFO(c.name << ": " << answer);
    CHECK(StatusOf(answer) == c.status);
    CHECK(answer.find(c.code) != std::string::npos);
    CHECK(answer.find("Dogwood-Run: no") != std::string::npos);
    CHECK(answer.find("Dogwood-Request-Id: t-") != std::string::npos);
  }
}

TEST_CASE("slow senders are answered with 408") {
  // Guards against callers that hold a thread by sending a byte now and then.
  HttpEntry entry(Small(), "t", Echo);
  CHECK(StatusOf(Exchange(entry.port(), "GET / HT", false)) == "HTTP/1.1 408");
  CHECK(StatusOf(Exchange(entry.port(), "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na", false)) ==
        "HTTP/1.1 408");
}

TEST_CASE("pipelined requests are answered in order, up to the first broken one") {
  HttpEntry entry(Small(), "t", Echo);
  const std::string answer =
      Exchange(entry.port(),
               "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
               "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
               "BROKEN\r\n\r\n");
  const std::size_t first = answer.find("/1|");
  const std::size_t second = answer.find("/2|abc");
  const std::size_t third = answer.find("HTTP/1.1 400");
  REQUIRE(first != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
}

TEST_CASE("random bytes never stop the entry") {
  constexpr std::uint64_t kSeed = 7;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  const std::string whole =
      "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc";
  HttpEntry entry(Small(), "t", Echo);
  for (int round = 0; round < 200; ++round) {
    std::string bytes = whole;
    for (std::size_t i = 0; i < 1 + random() % 5; ++i) {
      bytes[random() % bytes.size()] = static_cast<char>(random() & 0xffU);
    }
    Exchange(entry.port(), bytes);
  }
  CHECK(StatusOf(Exchange(entry.port(), whole)) == "HTTP/1.1 200");
}

TEST_CASE("connections above the limit are refused with 503") {
  EntrySettings settings = Small();
  settings.max_connections = 1;
  HttpEntry entry(settings, "t", Echo);
  Poco::Net::StreamSocket first(Poco::Net::SocketAddress("127.0.0.1", entry.port()));
  while (entry.counters().open_connections == 0) std::this_thread::yield();
  const std::string answer = Exchange(entry.port(), "GET / HTTP/1.1\r\n\r\n");
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After") != std::string::npos);
}

TEST_CASE("draining finishes the running request and closes idle connections") {
  std::atomic<bool> running{false};
  std::atomic<bool> release{false};
  HttpEntry entry(Small(), "t", [&](const EntryRequest& in) {
    running = true;
    while (!release) std::this_thread::yield();
    return Echo(in);
  });
  Poco::Net::StreamSocket idle(Poco::Net::SocketAddress("127.0.0.1", entry.port()));
  std::string answer;
  std::thread caller([&] { answer = Exchange(entry.port(), "GET /x HTTP/1.1\r\n\r\n", false); });
  while (!running) std::this_thread::yield();
  bool drained = false;
  std::thread drainer([&] { drained = entry.Drain(std::chrono::seconds(60)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  release = true;
  caller.join();
  drainer.join();
  CHECK(drained);
  CHECK(StatusOf(answer) == "HTTP/1.1 200");
  CHECK(answer.find("/x|") != std::string::npos);
}

}  // namespace dogwoodport
