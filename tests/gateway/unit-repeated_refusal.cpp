#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <set>

#include "dogwoodport/gateway/detail/raw_session.h"
#include "dogwoodport/gateway/target_client.h"

namespace dogwoodport {
namespace {

using Poco::Net::StreamSocket;

/// Answers requests with bytes that a test specifies. Empty ones close the connection.
class ScriptedTarget {
 public:
  /// Returns the answer to the request `id` on the connection with the given index, from 0.
  using Script = std::function<std::string(const std::string& id, int connection)>;

  explicit ScriptedTarget(Script script)
      : script_(std::move(script)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server_(new Factory(*this), pool_, socket_) {
    server_.start();
  }
  ~ScriptedTarget() {
    server_.stop();
    pool_.joinAll();
  }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  TargetAddress address() const { return {"127.0.0.1", socket_.address().port()}; }

 private:
  class Connection : public Poco::Net::TCPServerConnection {
   public:
    Connection(const StreamSocket& socket, ScriptedTarget& target, int index)
        : TCPServerConnection(socket), target_(target), index_(index) {}

    void run() override {
      try {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        detail::RawSession<Poco::Net::HTTPServerSession> session(socket(), params);
        for (;;) {
          Poco::Net::HTTPRequest header;
          session.ReadHeader(header);
          session.ReadBody(detail::ReadFraming(header), 1'000);
          const std::string bytes = target_.Answer(header.get("Dogwood-Request-Id", ""), index_);
          if (bytes.empty()) return;
          socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
      } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
        // The client has closed the connection.
      }
    }

   private:
    ScriptedTarget& target_;
    int index_;
  };

  class Factory : public Poco::Net::TCPServerConnectionFactory {
   public:
    explicit Factory(ScriptedTarget& target) : target_(target) {}
    Poco::Net::TCPServerConnection* createConnection(const StreamSocket& socket) override {
      return new Connection(socket, target_, connections_++);
    }

   private:
    ScriptedTarget& target_;
    int connections_ = 0;
  };

  std::string Answer(const std::string& id, int connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return script_(id, connection);
  }

  std::mutex mutex_;
  Script script_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool pool_;
  Poco::Net::TCPServer server_;
};

std::string AnswerBytes(int status, const std::string& id, const std::string& run) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: 0\r\n";
  if (!id.empty()) bytes += "Dogwood-Request-Id: " + id + "\r\n";
  if (!run.empty()) bytes += "Dogwood-Run: " + run + "\r\n";
  return bytes + "\r\n";
}

Exchange MakeExchange(const ScriptedTarget& target, const std::string& id) {
  Exchange e;
  e.target = target.address();
  e.request = {"POST", "/x", {}, "body"};
  if (!id.empty()) e.request.fields.push_back({"Dogwood-Request-Id", id});
  e.request_id = id;
  e.check_request_id = !id.empty();
  e.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  return e;
}

/// Returns the status of the answer, or 0 if there was none.
int StatusOf(const ExchangeResult& result) {
  const auto* answer = std::get_if<ExchangeAnswer>(&result);
  return answer == nullptr ? 0 : answer->answer.status;
}

/// Refuses each request at its first arrival and runs it at the next one. If that one arrives on
/// the connection of the refusal, a copy of the refusal takes the place of the answer.
class RepeatingTarget {
 public:
  explicit RepeatingTarget(int refusal_status) : refusal_status_(refusal_status) {}

  std::string operator()(const std::string& id, int connection) {
    const std::string refusal = AnswerBytes(refusal_status_, id, "no");
    const auto [it, is_first] = refused_on_.emplace(id, connection);
    if (is_first) return refusal;
    ++runs[id];
    return it->second == connection ? refusal : AnswerBytes(200, id, "yes");
  }

  std::map<std::string, int> runs;

 private:
  int refusal_status_;
  std::map<std::string, int> refused_on_;
};

}  // namespace

// Guards against callers that are told "not run" by a copy of an earlier refusal of the request.
TEST_CASE("a copy of a refusal does not answer the request when it is sent again",
          "[target_client][repeated_refusal]") {
  const int refusal_status = GENERATE(408, 409, 421, 429, 503);
  CAPTURE(refusal_status);
  RepeatingTarget script(refusal_status);
  ScriptedTarget target(std::ref(script));
  TargetClient client({});
  CHECK(StatusOf(client.Run(MakeExchange(target, "r"))) == refusal_status);
  CHECK(StatusOf(client.Run(MakeExchange(target, "r"))) == 200);
  CHECK(script.runs["r"] == 1);
  CHECK(client.counters().connects == 2);
  // Other requests use either connection.
  CHECK(StatusOf(client.Run(MakeExchange(target, "s"))) == refusal_status);
  CHECK(client.counters().connects == 2);
}

TEST_CASE("a request that is sent again uses an idle connection that has not refused it",
          "[target_client][repeated_refusal]") {
  RepeatingTarget script(503);
  ScriptedTarget target(std::ref(script));
  TargetClient client({});
  Exchange outer = MakeExchange(target, "a");
  outer.may_send = [&] {
    CHECK(StatusOf(client.Run(MakeExchange(target, "b"))) == 503);
    return true;
  };
  CHECK(StatusOf(client.Run(outer)) == 503);
  REQUIRE(client.idle_connections(target.address()) == 2);
  CHECK(StatusOf(client.Run(MakeExchange(target, "a"))) == 200);
  CHECK(StatusOf(client.Run(MakeExchange(target, "b"))) == 200);
  CHECK(client.counters().connects == 2);
}

TEST_CASE("a connection keeps a bounded number of refused requests",
          "[target_client][repeated_refusal]") {
  std::map<int, int> requests_on;
  ScriptedTarget target([&](const std::string& id, int connection) {
    ++requests_on[connection];
    return AnswerBytes(503, id, "no");
  });
  TargetClient client({});
  for (int i = 0; i < 600; ++i) {
    REQUIRE(StatusOf(client.Run(MakeExchange(target, std::to_string(i)))) == 503);
  }
  CHECK(requests_on[0] == 256);
  CHECK(client.counters().connects == 3);
}

struct PageCase {
  const char* description;
  std::string first_id;
  std::string first_answer;
  std::string copy;
  std::uint64_t connections;
};

// Guards against an answer that is taken for that of a page, which need not name its request.
TEST_CASE("a copy of a refusal does not answer a later request for a page",
          "[target_client][repeated_refusal]") {
  const std::string refusal = AnswerBytes(409, "", "");
  const std::string refusal_of_request = AnswerBytes(503, "r", "no");
  const std::string success = AnswerBytes(200, "", "");
  const std::string success_of_request = AnswerBytes(200, "r", "yes");
  const auto it = GENERATE_COPY(values<PageCase>({
      {"refusal of a page", "", refusal, refusal, 2},
      {"refusal of a request", "r", refusal_of_request, refusal_of_request, 2},
      {"success of a page", "", success, "", 1},
      {"success of a request", "r", success_of_request, "", 1},
  }));
  INFO(it.description);
  int requests = 0;
  ScriptedTarget target([&](const std::string& /*id*/, int connection) {
    if (++requests == 1) return it.first_answer;
    return (connection == 0 ? it.copy : "") + success;
  });
  TargetClient client({});
  REQUIRE(StatusOf(client.Run(MakeExchange(target, it.first_id))) > 0);
  CHECK(StatusOf(client.Run(MakeExchange(target, ""))) == 200);
  CHECK(client.counters().connects == it.connections);
}

TEST_CASE("a copy of a page's refusal does not end a later request",
          "[target_client][repeated_refusal]") {
  int requests = 0;
  ScriptedTarget target([&](const std::string& id, int connection) {
    const std::string refusal = AnswerBytes(409, "", "");
    if (++requests == 1) return refusal;
    return (connection == 0 ? refusal : "") + AnswerBytes(200, id, "yes");
  });
  TargetClient client({});
  REQUIRE(StatusOf(client.Run(MakeExchange(target, ""))) == 409);
  CHECK(StatusOf(client.Run(MakeExchange(target, "r"))) == 200);
}

}  // namespace dogwoodport
