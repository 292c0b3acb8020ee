#include "dogwoodport/daemon/server.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "dogwoodport/core/refusal.h"
#include "dogwoodport/core/router.h"
#include "dogwoodport/mesh/mesh.h"
#include "dogwoodport/platform/http_log_service.h"

namespace dogwoodport {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kLogPollInterval{100};
constexpr std::uint32_t kLogPageSize = 500;
/// Forwarded requests that wait for a thread before further ones are refused.
constexpr std::size_t kMaxQueuedForwards = 1024;

TimePoint ToTimePoint(Clock::time_point t) {
  return TimePoint(std::chrono::duration_cast<Duration>(t.time_since_epoch()));
}

Clock::time_point FromTimePoint(TimePoint t) {
  return Clock::time_point(std::chrono::duration_cast<Clock::duration>(t.time_since_epoch()));
}

TimePoint Now() { return ToTimePoint(Clock::now()); }

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Incarnation MakeIncarnation() {
  return {static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count())};
}

RouterSettings MakeRouterSettings(const Settings& in, Incarnation incarnation) {
  RouterSettings out;
  out.instance = in.instance;
  out.data_centre = in.data_centre;
  out.self = InstanceId::FromName(in.instance);
  out.incarnation = incarnation;
  out.own_data_centre = DataCentreId::FromName(in.data_centre);
  for (const PeerSettings& peer : in.mesh.peers) {
    if (peer.instance == in.instance) continue;
    out.peers.push_back(
        {InstanceId::FromName(peer.instance), DataCentreId::FromName(peer.data_centre)});
  }
  return out;
}

MeshSettings MakeMeshSettings(const Settings& in, Incarnation incarnation) {
  MeshSettings out;
  out.self = InstanceId::FromName(in.instance);
  out.incarnation = incarnation;
  out.listen = in.mesh.listen;
  out.max_message_bytes = in.mesh.max_message_bytes;
  for (const PeerSettings& peer : in.mesh.peers) {
    out.peers.push_back({InstanceId::FromName(peer.instance), peer.address});
  }
  return out;
}

AttemptFault ToAttemptFault(ExchangeFault fault) {
  switch (fault) {
    case ExchangeFault::kNotAllowed:
      return AttemptFault::kNotAllowed;
    case ExchangeFault::kConnectFailed:
      return AttemptFault::kConnectFailed;
    case ExchangeFault::kTimeout:
      return AttemptFault::kTimeout;
    case ExchangeFault::kTruncated:
      return AttemptFault::kConnectionLost;
    case ExchangeFault::kMalformed:
    case ExchangeFault::kTooLarge:
    case ExchangeFault::kCrossed:
      return AttemptFault::kBrokenAnswer;
    case ExchangeFault::kCallerLeft:
      return AttemptFault::kCallerLeft;
  }
  return AttemptFault::kBrokenAnswer;
}

}  // namespace

class Server::Impl {
 public:
  Impl(Settings settings, const JsonLog& log)
      : settings_(std::move(settings)),
        log_(log),
        incarnation_(MakeIncarnation()),
        router_(MakeRouterSettings(settings_, incarnation_)),
        log_service_(MakeLogSettings(settings_)),
        targets_(settings_.targets) {
    mesh_ = std::make_unique<Mesh>(
        MakeMeshSettings(settings_, incarnation_), [this](Delivery d) { OnDelivery(std::move(d)); },
        [this](const std::string& reason, std::uint64_t total) {
          log_.Warning("mesh_message_rejected", {{"reason", reason}, {"total", total}});
        });
    for (int i = 0; i < settings_.forward_workers; ++i) {
      workers_.emplace_back([this] { RunWorker(); });
    }
    ticker_ = std::thread([this] { RunTicker(); });
    log_reader_ = std::thread([this] { RunLogReader(); });
    const std::string prefix = settings_.instance + "-" + std::to_string(incarnation_.value);
    operators_ = std::make_unique<HttpEntry>(
        settings_.operators.entry, prefix + "-op",
        [this](EntryRequest request) { return ServeOperator(std::move(request)); });
    entry_ = std::make_unique<HttpEntry>(settings_.entry, prefix, [this](EntryRequest request) {
      return ServeCaller(std::move(request));
    });
    log_.Info("started", {{"entry_port", entry_->port()},
                          {"operators_port", operators_->port()},
                          {"mesh_port", mesh_->port()}});
  }

  ~Impl() {
    entry_.reset();
    operators_.reset();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    log_reader_.join();
    ticker_.join();
    for (std::thread& worker : workers_) worker.join();
    mesh_.reset();
  }

  std::uint16_t entry_port() const { return entry_->port(); }
  std::uint16_t operators_port() const { return operators_->port(); }
  std::uint16_t mesh_port() const { return mesh_->port(); }

  bool Shutdown() {
    log_.Info("shutdown_started");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      draining_ = true;
    }
    std::this_thread::sleep_for(settings_.shutdown.load_balancer_wait);
    const Clock::time_point limit = Clock::now() + settings_.shutdown.drain_timeout;
    bool done = entry_->Drain(settings_.shutdown.drain_timeout);
    done = WaitForForwarded(limit) && done;
    WithRouter([](Router& router, TimePoint now) { router.Shutdown(now); });
    log_.Info("shutdown_finished", {{"all_finished", done}});
    return done;
  }

 private:
  /// Where the thread of a caller's connection waits for the next step of its request.
  struct Waiter {
    std::condition_variable changed;
    std::optional<Step> step;
  };

  static HttpLogSettings MakeLogSettings(const Settings& in) {
    HttpLogSettings out;
    out.host = in.log_service.host;
    out.port = in.log_service.port;
    out.log = in.log_service.log;
    return out;
  }

  /// Runs `use(router, now)` under the mutex, then sends messages and hands out steps.
  template <typename Use>
  std::invoke_result_t<Use, Router&, TimePoint> WithRouter(Use use) {
    std::unique_lock<std::mutex> lock(mutex_);
    if constexpr (std::is_void_v<std::invoke_result_t<Use, Router&, TimePoint>>) {
      use(router_, Now());
      Flush(lock);
    } else {
      auto result = use(router_, Now());
      Flush(lock);
      return result;
    }
  }

  void Flush(std::unique_lock<std::mutex>& lock) {
    for (;;) {
      HandOut();
      const std::vector<Envelope> envelopes = router_.TakeEnvelopes();
      if (envelopes.empty()) return;
      lock.unlock();
      std::vector<const Envelope*> failed;
      for (const Envelope& envelope : envelopes) {
        if (!mesh_->Send(envelope.to, envelope.message)) failed.push_back(&envelope);
      }
      lock.lock();
      for (const Envelope* envelope : failed) {
        router_.OnSendFailed(Now(), envelope->to, envelope->message);
      }
    }
  }

  /// Gives steps to the threads that wait for them, and steps of forwarded requests to the workers.
  void HandOut() {
    for (ReadyStep& ready : router_.TakeReady()) {
      const auto it = waiters_.find(ready.handle);
      if (it != waiters_.end()) {
        it->second->step = std::move(ready.step);
        it->second->changed.notify_one();
      } else if (auto* send = std::get_if<SendToTarget>(&ready.step)) {
        QueueForward(std::move(*send));
      }
    }
  }

  void QueueForward(SendToTarget send) {
    if (forwards_.size() >= kMaxQueuedForwards) {
      router_.OnAttempt(
          Now(), send.handle, send.attempt,
          TargetFailed{AttemptFault::kOverloaded, RunState::kNo, false, "overloaded"});
      return;
    }
    forwards_.push_back(std::move(send));
    changed_.notify_one();
  }

  void OnDelivery(Delivery delivery) {
    WithRouter([&](Router& router, TimePoint now) {
      router.OnMessage(now, delivery.from, delivery.incarnation, std::move(delivery.message));
    });
  }

  Reply ServeCaller(EntryRequest in) {
    RequestHandle handle = 0;
    Waiter waiter;
    const int caller_fd = in.caller_fd;
    Step step = WithRouter([&](Router& router, TimePoint now) {
      Step first = router.OnRequest(now, {in.request_id, std::move(in.request)}, handle);
      if (!std::holds_alternative<Finish>(first)) waiters_.emplace(handle, &waiter);
      return first;
    });
    for (;;) {
      if (auto* finish = std::get_if<Finish>(&step)) {
        const std::lock_guard<std::mutex> lock(mutex_);
        waiters_.erase(handle);
        return std::move(finish->reply);
      }
      if (const auto* send = std::get_if<SendToTarget>(&step)) {
        step = RunAttempt(*send, caller_fd);
      } else {
        step = WaitForNext(waiter);
      }
    }
  }

  Step WaitForNext(Waiter& waiter) {
    std::unique_lock<std::mutex> lock(mutex_);
    waiter.changed.wait(lock, [&waiter] { return waiter.step.has_value(); });
    Step step = std::move(*waiter.step);
    waiter.step.reset();
    return step;
  }

  Step RunAttempt(const SendToTarget& send, int caller_fd) {
    Exchange exchange;
    exchange.target = {send.host, send.port};
    exchange.request = *send.request;
    exchange.request.fields.insert(exchange.request.fields.end(), send.fields.begin(),
                                   send.fields.end());
    exchange.request_id = send.request_id;
    exchange.deadline = FromTimePoint(send.deadline);
    exchange.caller_fd = send.cancellable ? caller_fd : -1;
    exchange.force_new_connection = send.force_new_connection;
    exchange.may_send = [this, &send] {
      const std::lock_guard<std::mutex> lock(mutex_);
      return router_.MaySend(Now(), send.handle, send.attempt);
    };
    AttemptOutcome outcome = ToOutcome(targets_.Run(exchange), exchange.target);
    return WithRouter([&](Router& router, TimePoint now) {
      return router.OnAttempt(now, send.handle, send.attempt, std::move(outcome));
    });
  }

  AttemptOutcome ToOutcome(ExchangeResult result, const TargetAddress& target) {
    if (auto* answer = std::get_if<ExchangeAnswer>(&result)) {
      return TargetAnswered{std::move(answer->answer), answer->latency, answer->new_connection};
    }
    auto& failure = std::get<ExchangeFailure>(result);
    // Other kept connections to the target may be as silent as this one.
    if (failure.fault == ExchangeFault::kTimeout) targets_.CloseIdle(target);
    return TargetFailed{ToAttemptFault(failure.fault), failure.run, failure.new_connection,
                        std::move(failure.text)};
  }

  /// Runs requests that other instances forwarded.
  void RunWorker() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      changed_.wait(lock, [this] { return stopping_ || !forwards_.empty(); });
      if (stopping_) return;
      SendToTarget send = std::move(forwards_.front());
      forwards_.pop_front();
      ++running_forwards_;
      lock.unlock();
      Step step = RunAttempt(send, -1);
      while (auto* next = std::get_if<SendToTarget>(&step)) {
        const SendToTarget copy = std::move(*next);
        step = RunAttempt(copy, -1);
      }
      lock.lock();
      --running_forwards_;
      changed_.notify_all();
    }
  }

  bool WaitForForwarded(Clock::time_point limit) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_until(lock, limit,
                               [this] { return running_forwards_ == 0 && forwards_.empty(); });
  }

  void RunTicker() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      changed_.wait_for(lock, kTickInterval, [this] { return stopping_; });
      router_.Tick(Now());
      Flush(lock);
    }
  }

  void RunLogReader() {
    std::unique_lock<std::mutex> lock(mutex_);
    bool down = false;
    while (!stopping_) {
      const std::uint64_t from = router_.state().next_offset();
      lock.unlock();
      std::vector<std::pair<std::uint64_t, std::string>> records;
      try {
        LogPage page = log_service_.Read(from, kLogPageSize);
        for (LogRecord& r : page.records) records.emplace_back(r.offset, std::move(r.data));
        if (down) log_.Info("log_service_up");
        down = false;
      } catch (const LogServiceError& e) {
        if (!down) log_.Warning("log_service_down", {{"error", DescribeNested(e)}});
        down = true;
      }
      const bool full = records.size() == kLogPageSize;
      lock.lock();
      ApplyRecords(records);
      Flush(lock);
      if (!full) changed_.wait_for(lock, kLogPollInterval, [this] { return stopping_; });
    }
  }

  void ApplyRecords(const std::vector<std::pair<std::uint64_t, std::string>>& records) {
    if (records.empty()) return;
    const std::uint64_t version = router_.state().config()->version;
    try {
      router_.OnLogRecords(Now(), UnixMs(), records);
    } catch (const Error& e) {
      log_.Error("control_state_stopped", {{"error", DescribeNested(e)}});
    }
    for (const AuditEntry& entry : router_.state().audit()) {
      if (entry.offset < records.front().first || entry.outcome == ApplyOutcome::kApplied) continue;
      log_.Warning("record_not_applied", {{"offset", entry.offset},
                                          {"actor", entry.actor},
                                          {"what", entry.what},
                                          {"detail", entry.detail}});
    }
    if (router_.state().config()->version != version) {
      log_.Info("configuration_in_force", {{"version", router_.state().config()->version}});
    }
  }

  Reply ServeOperator(const EntryRequest& in) {
    const std::string& uri = in.request.uri;
    const bool read = in.request.method == "GET" || in.request.method == "HEAD";
    if (!read) {
      return MakeRefusal(405, "method_not_allowed", "read-only", RunState::kNo, in.request_id);
    }
    if (uri == "/-/live") return Json(200, {{"live", true}});
    if (uri == "/-/ready") {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool ready = !draining_ && router_.Ready(Now());
      return Json(ready ? 200 : 503, {{"ready", ready}, {"draining", draining_}});
    }
    return MakeRefusal(404, "unknown_page", "no such page", RunState::kNo, in.request_id);
  }

  static Reply Json(std::uint16_t status, const nlohmann::json& value) {
    Reply reply;
    reply.answer = {status, {{"Content-Type", "application/json"}}, value.dump() + "\n"};
    return reply;
  }

  Settings settings_;
  const JsonLog& log_;
  Incarnation incarnation_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Router router_;
  std::unordered_map<RequestHandle, Waiter*> waiters_;
  std::deque<SendToTarget> forwards_;
  std::size_t running_forwards_ = 0;
  bool draining_ = false;
  bool stopping_ = false;
  HttpLogService log_service_;
  TargetClient targets_;
  std::unique_ptr<Mesh> mesh_;
  std::vector<std::thread> workers_;
  std::thread ticker_;
  std::thread log_reader_;
  std::unique_ptr<HttpEntry> operators_;
  std::unique_ptr<HttpEntry> entry_;
};

Server::Server(Settings settings, const JsonLog& log)
    : impl_(std::make_unique<Impl>(std::move(settings), log)) {}
Server::~Server() = default;

std::uint16_t Server::entry_port() const { return impl_->entry_port(); }
std::uint16_t Server::operators_port() const { return impl_->operators_port(); }
std::uint16_t Server::mesh_port() const { return impl_->mesh_port(); }
bool Server::Shutdown() { return impl_->Shutdown(); }

}  // namespace dogwoodport
