#include "dogwoodport/standin/http_target.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace dogwoodport::standin {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kMaxConnections = 256;
constexpr std::chrono::milliseconds kPollInterval{5};

const std::map<std::string, AnswerMode>& Modes() {
  static const std::map<std::string, AnswerMode> modes = {
      {"whole", AnswerMode::kWhole},         {"truncated", AnswerMode::kTruncated},
      {"malformed", AnswerMode::kMalformed}, {"crossed", AnswerMode::kCrossed},
      {"doubled", AnswerMode::kDoubled},     {"oversized", AnswerMode::kOversized},
      {"silent", AnswerMode::kSilent},       {"dropped", AnswerMode::kDropped}};
  return modes;
}

struct Grant {
  std::string epoch;
  std::int64_t expires_at_ms = 0;
};

struct Reply {
  int status = 200;
  std::string body;
  bool ran = false;
};

}  // namespace

void ApplyJson(TargetBehaviour& behaviour, const json& value) {
  for (const auto& [name, item] : value.items()) {
    try {
      if (name == "name") {
        item.get_to(behaviour.name);
      } else if (name == "slots") {
        item.get_to(behaviour.slots);
      } else if (name == "service_ms") {
        item.get_to(behaviour.service_ms);
      } else if (name == "mode") {
        behaviour.mode = Modes().at(item.get<std::string>());
      } else if (name == "mode_every") {
        item.get_to(behaviour.mode_every);
      } else if (name == "cold_ms") {
        item.get_to(behaviour.cold_ms);
      } else if (name == "cold_slots") {
        item.get_to(behaviour.cold_slots);
      } else if (name == "frozen") {
        item.get_to(behaviour.frozen);
      } else if (name == "draining") {
        item.get_to(behaviour.draining);
      } else if (name == "check_grants") {
        item.get_to(behaviour.check_grants);
      } else if (name == "crash_body") {
        item.get_to(behaviour.crash_body);
      } else if (name == "load_age_ms") {
        item.get_to(behaviour.load_age_ms);
      } else if (name == "oversized_bytes") {
        item.get_to(behaviour.oversized_bytes);
      } else {
        throw std::invalid_argument("unknown name");
      }
    } catch (const std::exception& e) {
      throw std::invalid_argument(name + ": " + e.what());
    }
  }
}

class HttpTarget::Impl {
 public:
  Impl(TargetBehaviour behaviour, std::uint16_t port)
      : behaviour_(std::move(behaviour)),
        start_(Clock::now()),
        boot_id_(std::to_string(std::chrono::system_clock::now().time_since_epoch().count())),
        socket_(Poco::Net::SocketAddress("127.0.0.1", port), kMaxConnections),
        pool_(2, kMaxConnections),
        server_(new Factory(*this), pool_, socket_, Params()) {
    server_.start();
  }

  ~Impl() {
    stopping_ = true;
    server_.stop();
    pool_.joinAll();
  }

  std::uint16_t port() const { return socket_.address().port(); }

  void Set(const TargetBehaviour& behaviour) {
    const std::lock_guard<std::mutex> lock(mutex_);
    behaviour_ = behaviour;
    silent_before_ = next_connection_.load();
  }

  TargetBehaviour behaviour() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return behaviour_;
  }

  std::vector<TargetRun> runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

  int in_flight() const { return in_flight_; }
  bool crashed() const { return crashed_; }
  int connections() const { return next_connection_; }

 private:
  class Connection;

  class Factory : public Poco::Net::TCPServerConnectionFactory {
   public:
    explicit Factory(Impl& impl) : impl_(impl) {}
    Poco::Net::TCPServerConnection* createConnection(
        const Poco::Net::StreamSocket& socket) override;

   private:
    Impl& impl_;
  };

  static Poco::Net::TCPServerParams::Ptr Params() {
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(kMaxConnections);
    params->setMaxQueued(kMaxConnections);
    return params;
  }

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_).count();
  }

  bool Cold(const TargetBehaviour& b) const { return NowMs() < b.cold_ms; }

  /// Waits while the target is frozen. Returns false when the simulator stops.
  bool WaitWhileFrozen() const {
    while (behaviour().frozen) {
      if (stopping_) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
    return !stopping_;
  }

  Reply Health(const TargetBehaviour& b) const {
    const char* state = b.draining ? "draining" : Cold(b) ? "cold" : "ready";
    return {200, json{{"state", state}, {"clock_ms", NowMs()}, {"boot_id", boot_id_}}.dump()};
  }

  Reply TakeGrants(const std::string& body) {
    const json value = json::parse(body);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const json& item : value.at("grants")) {
      const std::string shard =
          item.at("service").get<std::string>() + "." + item.at("shard").dump();
      grants_[shard] = {item.at("epoch").get<std::string>(),
                        item.at("expires_at_ms").get<std::int64_t>()};
    }
    return {200, json{{"clock_ms", NowMs()}}.dump()};
  }

  bool Granted(const std::string& epoch) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t now = NowMs();
    return std::any_of(grants_.begin(), grants_.end(), [&](const auto& item) {
      return item.second.epoch == epoch && item.second.expires_at_ms > now;
    });
  }

  Reply Runs() const {
    json list = json::array();
    for (const TargetRun& run : runs()) {
      list.push_back({{"request_id", run.request_id},
                      {"method", run.method},
                      {"uri", run.uri},
                      {"account", run.account},
                      {"epoch", run.epoch},
                      {"idempotency_key", run.idempotency_key},
                      {"had_authorization", run.had_authorization},
                      {"finished", run.finished}});
    }
    return {200, json{{"runs", list}}.dump()};
  }

  Reply Serve(Poco::Net::HTTPServerRequest& request, const std::string& body) {
    const TargetBehaviour b = behaviour();
    const std::string& uri = request.getURI();
    if (uri == "/-/health") return Health(b);
    if (uri == "/-/load") {
      return {200, json{{"in_flight", in_flight_.load()}, {"age_ms", b.load_age_ms}}.dump()};
    }
    if (uri == "/-/grants") return TakeGrants(body);
    if (uri == "/-/runs") return Runs();
    if (uri == "/-/behaviour") {
      TargetBehaviour changed = b;
      ApplyJson(changed, json::parse(body));
      Set(changed);
      return {200, "{}"};
    }
    return Run(b, request, body);
  }

  Reply Run(const TargetBehaviour& b, Poco::Net::HTTPServerRequest& request,
            const std::string& body) {
    if (!b.crash_body.empty() && body.find(b.crash_body) != std::string::npos) {
      crashed_ = true;
      return {500, "crash"};
    }
    if (b.check_grants && !Granted(request.get("Dogwood-Epoch", ""))) {
      return {409, R"({"code":"epoch_not_granted"})"};
    }
    if (b.draining) return {503, R"({"code":"draining"})"};
    if (Cold(b) && in_flight_ >= b.cold_slots) return {500, R"({"code":"cold"})"};
    if (in_flight_ >= b.slots * 4) return {503, R"({"code":"overloaded"})"};
    const std::size_t index = Begin(request);
    ++in_flight_;
    TakeSlot(b.slots);
    std::this_thread::sleep_for(std::chrono::milliseconds(b.service_ms));
    ReleaseSlot();
    --in_flight_;
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].finished = true;
    const json answer = {{"target", b.name}, {"uri", request.getURI()}, {"echo", body}};
    return {200, answer.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", true};
  }

  std::size_t Begin(const Poco::Net::HTTPServerRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({request.get("Dogwood-Request-Id", ""), request.getMethod(), request.getURI(),
                     request.get("Dogwood-Account", ""), request.get("Dogwood-Epoch", ""),
                     request.get("Idempotency-Key", ""), request.has("Authorization"), false});
    return runs_.size() - 1;
  }

  void TakeSlot(int slots) {
    std::unique_lock<std::mutex> lock(slot_mutex_);
    slot_free_.wait(lock, [&] { return running_ < slots || stopping_; });
    ++running_;
  }

  void ReleaseSlot() {
    const std::lock_guard<std::mutex> lock(slot_mutex_);
    --running_;
    slot_free_.notify_one();
  }

  mutable std::mutex mutex_;
  TargetBehaviour behaviour_;
  std::vector<TargetRun> runs_;
  std::map<std::string, Grant> grants_;
  std::mutex slot_mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  std::atomic<int> in_flight_{0};
  std::atomic<int> next_connection_{0};
  std::atomic<int> silent_before_{0};
  std::atomic<int> answers_{0};
  std::atomic<bool> crashed_{false};
  std::atomic<bool> stopping_{false};
  Clock::time_point start_;
  std::string boot_id_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool pool_;
  Poco::Net::TCPServer server_;
};

class HttpTarget::Impl::Connection : public Poco::Net::TCPServerConnection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, Impl& impl)
      : TCPServerConnection(socket), impl_(impl), number_(impl.next_connection_++) {}

  void run() override {
    try {
      socket().setNoDelay(true);
      Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
      Poco::Net::HTTPServerSession session(socket(), params);
      while (WaitForInput() && ServeOne(session, params)) {
      }
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
      // The peer has left or sent nonsense; the connection ends.
    }
  }

 private:
  bool WaitForInput() {
    while (!impl_.stopping_) {
      if (socket().poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ)) return true;
    }
    return false;
  }

  bool ServeOne(Poco::Net::HTTPServerSession& session, Poco::Net::HTTPServerParams* params) {
    if (!impl_.WaitWhileFrozen()) return false;
    Poco::Net::HTTPServerResponseImpl response(session);
    Poco::Net::HTTPServerRequestImpl request(response, session, params);
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const Reply reply = impl_.Serve(request, body);
    if (impl_.crashed_) return false;
    // A request that was running when the target froze is answered when it comes back.
    if (!impl_.WaitWhileFrozen()) return false;
    return Answer(request.get("Dogwood-Request-Id", ""), reply) && request.getKeepAlive();
  }

  bool Answer(const std::string& id, const Reply& reply) {
    const TargetBehaviour b = impl_.behaviour();
    const bool special =
        reply.ran && b.mode_every > 0 && (impl_.answers_++ % b.mode_every) == b.mode_every - 1;
    const AnswerMode mode = special ? b.mode : AnswerMode::kWhole;
    const std::string whole = Head(id, reply, reply.body.size()) + reply.body;
    switch (mode) {
      case AnswerMode::kWhole:
        Send(whole);
        return true;
      case AnswerMode::kTruncated:
        Send(whole.substr(0, whole.size() - reply.body.size() / 2));
        return false;
      case AnswerMode::kMalformed:
        Send("HTTP/1.1 garbage\x01\r\n: no\r\n\r\n");
        return false;
      case AnswerMode::kCrossed:
        Send(Head("other-" + id, reply, reply.body.size()) + reply.body);
        return true;
      case AnswerMode::kDoubled:
        Send(whole + whole);
        return true;
      case AnswerMode::kOversized:
        Send(Head(id, reply, static_cast<std::size_t>(b.oversized_bytes)) +
             std::string(static_cast<std::size_t>(b.oversized_bytes), 'x'));
        return true;
      case AnswerMode::kSilent:
        if (number_ >= impl_.silent_before_) {
          Send(whole);
          return true;
        }
        while (!impl_.stopping_) std::this_thread::sleep_for(kPollInterval);
        return false;
      case AnswerMode::kDropped:
        return false;
    }
    return false;
  }

  static std::string Head(const std::string& id, const Reply& reply, std::size_t length) {
    return "HTTP/1.1 " + std::to_string(reply.status) +
           " Status\r\nContent-Type: application/json\r\nDogwood-Request-Id: " + id +
           "\r\nDogwood-Run: " + (reply.ran ? "yes" : "no") +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }

  void Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      sent += static_cast<std::size_t>(
          socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
  }

  Impl& impl_;
  int number_;
};

Poco::Net::TCPServerConnection* HttpTarget::Impl::Factory::createConnection(
    const Poco::Net::StreamSocket& socket) {
  return new Connection(socket, impl_);
}

HttpTarget::HttpTarget(TargetBehaviour behaviour, std::uint16_t port)
    : impl_(std::make_unique<Impl>(std::move(behaviour), port)) {}
HttpTarget::~HttpTarget() = default;

std::uint16_t HttpTarget::port() const { return impl_->port(); }
void HttpTarget::Set(const TargetBehaviour& behaviour) { impl_->Set(behaviour); }
TargetBehaviour HttpTarget::behaviour() const { return impl_->behaviour(); }
std::vector<TargetRun> HttpTarget::runs() const { return impl_->runs(); }
int HttpTarget::in_flight() const { return impl_->in_flight(); }
bool HttpTarget::crashed() const { return impl_->crashed(); }
int HttpTarget::connections() const { return impl_->connections(); }

}  // namespace dogwoodport::standin
