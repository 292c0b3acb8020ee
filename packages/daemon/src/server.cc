#include "dogwoodport/daemon/server.h"

#include <condition_variable>
#include <ctime>
#include <deque>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>

#include "dogwoodport/core/detail/systems.h"
#include "dogwoodport/core/refusal.h"
#include "dogwoodport/core/router.h"
#include "dogwoodport/daemon/operator_pages.h"
#include "dogwoodport/daemon/target_prober.h"
#include "dogwoodport/daemon/work_pool.h"
#include "dogwoodport/gateway/detail/socket_guard.h"
#include "dogwoodport/log_service/http_log_service.h"
#include "dogwoodport/mesh/mesh.h"

namespace dogwoodport {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTickInterval{10};
/// The list of the platform is itself delayed by several seconds, so a shorter interval has no
/// benefit.
constexpr std::chrono::milliseconds kInstanceListInterval{1000};
/// Covers the concurrent log service calls of the follower and the reading of the instance list.
constexpr std::size_t kLogThreads = 6;
constexpr std::size_t kTargetThreads = 8;
constexpr std::size_t kMaxQueuedTasks = 256;
/// Interval at which a thread that waits for a step checks whether its caller has disconnected.
constexpr std::chrono::milliseconds kCallerCheckInterval{50};
/// Maximum number of forwarded requests that wait for a thread; further ones are refused.
constexpr std::size_t kMaxQueuedForwards = 1024;

/// Returns the time since boot, including time in suspend, so that a permit expires even while its
/// holder is suspended.
TimePoint Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

/// Converts `t` to the steady clock, which the socket calls use.
Clock::time_point ToSteadyClock(TimePoint t) { return Clock::now() + (t - Now()); }

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
  std::random_device random;
  for (std::uint64_t& part : out.secrets.cache_key) {
    part = (std::uint64_t{random()} << 32U) | random();
  }
  if (in.secret_max_staleness) out.secrets.max_staleness = *in.secret_max_staleness;
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
        router_(MakeRouterSettings(settings_, incarnation_), Now()),
        log_service_(MakeLogSettings(settings_)),
        targets_(settings_.targets),
        log_pool_(kLogThreads, kMaxQueuedTasks),
        target_pool_(kTargetThreads, kMaxQueuedTasks) {
    mesh_ = std::make_unique<Mesh>(
        MakeMeshSettings(settings_, incarnation_), [this](Delivery d) { OnDelivery(std::move(d)); },
        [this](const std::string& reason, std::uint64_t total) {
          log_.Warning("mesh_message_rejected", {{"reason", reason}, {"total", total}});
        });
    for (int i = 0; i < settings_.forward_workers; ++i) {
      forward_workers_.emplace_back([this] { RunForwardWorker(); });
    }
    ticker_ = std::thread([this] { RunTicker(); });
    const std::string prefix = settings_.instance + "-" + std::to_string(incarnation_.value);
    operators_ = std::make_unique<HttpEntry>(
        settings_.operators.entry, prefix + "-op",
        [this](const EntryRequest& request) { return ServeOperator(request); });
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
    state_changed_.notify_all();
    ticker_.join();
    log_pool_.Stop();
    target_pool_.Stop();
    for (std::thread& worker : forward_workers_) worker.join();
    mesh_.reset();
  }

  std::uint16_t entry_port() const { return entry_->port(); }
  std::uint16_t operators_port() const { return operators_->port(); }
  std::uint16_t mesh_port() const { return mesh_->port(); }

  bool Shutdown() {
    log_.Info("shutdown_started");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      router_.BeginShutdown(Now());
    }
    std::this_thread::sleep_for(settings_.shutdown.load_balancer_wait);
    const Clock::time_point drain_deadline = Clock::now() + settings_.shutdown.drain_timeout;
    bool all_finished = entry_->Drain(settings_.shutdown.drain_timeout);
    all_finished = WaitForForwarded(drain_deadline) && all_finished;
    WithRouter([](Router& router, TimePoint now) { router.Shutdown(now); });
    log_.Info("shutdown_finished", {{"all_finished", all_finished}});
    return all_finished;
  }

 private:
  /// Passes the next step of a request to the thread of the caller connection.
  struct Waiter {
    std::condition_variable step_ready;
    std::optional<Step> step;
  };

  static HttpLogSettings MakeLogSettings(const Settings& in) {
    HttpLogSettings out;
    out.host = in.log_service.host;
    out.port = in.log_service.port;
    out.log = in.log_service.log;
    return out;
  }

  /// Runs `action(router, now)` with the mutex held, then sends the resulting messages and
  /// dispatches the resulting steps.
  template <typename Action>
  std::invoke_result_t<Action, Router&, TimePoint> WithRouter(Action action) {
    std::unique_lock<std::mutex> lock(mutex_);
    if constexpr (std::is_void_v<std::invoke_result_t<Action, Router&, TimePoint>>) {
      action(router_, Now());
      Flush(lock);
    } else {
      auto result = action(router_, Now());
      Flush(lock);
      return result;
    }
  }

  void Flush(std::unique_lock<std::mutex>& lock) {
    for (;;) {
      DispatchSteps();
      StartWork(router_.TakeWork());
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

  /// Passes steps to the threads that wait for them and queues steps of forwarded requests.
  void DispatchSteps() {
    for (ReadyStep& ready : router_.TakeReady()) {
      const auto it = waiters_.find(ready.handle);
      if (it != waiters_.end()) {
        it->second->step = std::move(ready.step);
        it->second->step_ready.notify_one();
      } else if (auto* send = std::get_if<SendToTarget>(&ready.step)) {
        QueueForward(std::move(*send));
      }
    }
  }

  void QueueForward(SendToTarget send) {
    if (queued_forwards_.size() >= kMaxQueuedForwards) {
      router_.OnAttempt(
          Now(), send.handle, send.attempt,
          TargetFailed{AttemptFault::kOverloaded, RunState::kNo, false, "overloaded"});
      return;
    }
    queued_forwards_.push_back(std::move(send));
    state_changed_.notify_one();
  }

  void OnDelivery(Delivery delivery) {
    WithRouter([&](Router& router, TimePoint now) {
      router.OnMessage(now, delivery.from, delivery.incarnation, std::move(delivery.message));
    });
  }

  Reply ServeCaller(EntryRequest in) {
    const Clock::time_point received = in.received;
    Reply reply = RunRequest(std::move(in));
    const std::lock_guard<std::mutex> lock(mutex_);
    metrics_.Observe(reply.answer.status, reply.run,
                     std::chrono::duration_cast<Duration>(Clock::now() - received));
    return reply;
  }

  Reply RunRequest(EntryRequest in) {
    RequestHandle handle = 0;
    Waiter waiter;
    const int caller_fd = in.caller_fd;
    Step step = WithRouter([&](Router& router, TimePoint now) {
      Step first_step = router.OnRequest(now, {in.request_id, std::move(in.request)}, handle);
      if (!std::holds_alternative<Finish>(first_step)) waiters_.emplace(handle, &waiter);
      return first_step;
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
        step = WaitForStep(waiter, handle, caller_fd);
      }
    }
  }

  Step WaitForStep(Waiter& waiter, RequestHandle handle, int caller_fd) {
    std::unique_lock<std::mutex> lock(mutex_);
    bool watch_caller = true;
    while (!waiter.step) {
      if (waiter.step_ready.wait_for(lock, kCallerCheckInterval) == std::cv_status::no_timeout) {
        continue;
      }
      if (!watch_caller || waiter.step || !detail::PeerHasLeft(caller_fd)) continue;
      // An order continues even if its caller disconnects.
      if (auto reply = router_.OnCallerLeft(Now(), handle)) return Finish{std::move(*reply)};
      watch_caller = false;
    }
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
    exchange.deadline = ToSteadyClock(send.deadline);
    exchange.caller_fd = send.cancellable ? caller_fd : -1;
    exchange.force_new_connection = send.force_new_connection;
    exchange.may_send = [this, &send] {
      const std::lock_guard<std::mutex> lock(mutex_);
      return router_.MaySend(Now(), send.handle, send.attempt);
    };
    const auto cancelled = std::make_shared<std::atomic<bool>>(false);
    exchange.cancelled = cancelled;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (send.cancellable) cancel_flags_[send.handle] = cancelled;
    }
    AttemptOutcome outcome = ToAttemptOutcome(targets_.Run(exchange), exchange.target);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      cancel_flags_.erase(send.handle);
    }
    return WithRouter([&](Router& router, TimePoint now) {
      return router.OnAttempt(now, send.handle, send.attempt, std::move(outcome));
    });
  }

  AttemptOutcome ToAttemptOutcome(ExchangeResult result, const TargetAddress& target) {
    if (auto* response = std::get_if<ExchangeAnswer>(&result)) {
      return TargetAnswered{std::move(response->answer), response->latency,
                            response->new_connection};
    }
    auto& failure = std::get<ExchangeFailure>(result);
    // Other idle connections to the target may be unresponsive too, so they are closed.
    if (failure.fault == ExchangeFault::kTimeout) targets_.CloseIdle(target);
    // The target process may have ended; in that case it refuses a new connection.
    const bool target_lost =
        failure.fault == ExchangeFault::kTruncated && targets_.RefusesConnections(target);
    return TargetFailed{ToAttemptFault(failure.fault), failure.run, failure.new_connection,
                        std::move(failure.text), target_lost};
  }

  /// Runs requests that other instances forwarded.
  void RunForwardWorker() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      state_changed_.wait(lock, [this] { return stopping_ || !queued_forwards_.empty(); });
      if (stopping_) return;
      SendToTarget send = std::move(queued_forwards_.front());
      queued_forwards_.pop_front();
      ++running_forwards_;
      lock.unlock();
      Step step = RunAttempt(send, -1);
      while (auto* next = std::get_if<SendToTarget>(&step)) {
        const SendToTarget next_send = std::move(*next);
        step = RunAttempt(next_send, -1);
      }
      lock.lock();
      --running_forwards_;
      state_changed_.notify_all();
    }
  }

  bool WaitForForwarded(Clock::time_point drain_deadline) {
    std::unique_lock<std::mutex> lock(mutex_);
    return state_changed_.wait_until(lock, drain_deadline, [this] {
      return running_forwards_ == 0 && queued_forwards_.empty();
    });
  }

  void RunTicker() {
    std::unique_lock<std::mutex> lock(mutex_);
    router_.OnPlatformList(Now(), ConfiguredInstances());
    Clock::time_point next_list_read = Clock::now();
    while (!stopping_) {
      state_changed_.wait_for(lock, kTickInterval, [this] { return stopping_; });
      router_.Tick(Now(), UnixMs());
      Flush(lock);
      if (Clock::now() < next_list_read) continue;
      next_list_read = Clock::now() + kInstanceListInterval;
      log_pool_.Post([this] { ReadPlatformList(); });
    }
  }

  /// Starts the calls that the router has requested. The mutex must be held.
  void StartWork(RouterWork work) {
    for (LogRequest& request : work.log) {
      const std::uint64_t id = std::visit([](const auto& r) { return r.id; }, request);
      const bool append = std::holds_alternative<LogAppend>(request);
      if (log_pool_.Post([this, r = std::move(request)] { RunLogRequest(r); })) continue;
      if (append) {
        router_.OnLogAppendFailed(Now(), id, LogFailure::kUnreachable);
      } else {
        router_.OnLogReadFailed(Now(), id, LogFailure::kUnreachable);
      }
    }
    for (const ProbeTarget& probe : work.probes) StartProbe(probe);
    for (SendGrants& grants : work.grants) {
      target_pool_.Post([this, g = std::move(grants)] { RunGrants(g); });
    }
    for (const RequestHandle handle : work.cancelled) {
      const auto it = cancel_flags_.find(handle);
      if (it != cancel_flags_.end()) *it->second = true;
    }
  }

  /// Starts a probe unless an earlier one of the same target is still running, so that a hanging
  /// target cannot occupy all threads.
  void StartProbe(const ProbeTarget& probe) {
    if (!probing_.insert(probe.target).second) return;
    const bool posted = target_pool_.Post([this, probe] {
      const ProbeResponse response = Probe(targets_, probe);
      WithRouter([&](Router& router, TimePoint now) {
        probing_.erase(probe.target);
        router.OnHealth(now, probe.target, response.health);
        if (response.has_load) {
          router.OnLoad(now, probe.target, response.in_flight, response.load_age);
        }
      });
    });
    if (!posted) probing_.erase(probe.target);
  }

  void RunGrants(const SendGrants& grants) {
    const std::optional<GrantReply> reply = PutGrants(targets_, grants);
    if (!reply) return;
    WithRouter([&](Router& router, TimePoint now) { router.OnGrantReply(now, *reply); });
  }

  void RunLogRequest(const LogRequest& request) {
    if (const auto* read = std::get_if<LogRead>(&request)) {
      try {
        const LogPage page = log_service_.Read(read->from, read->max);
        WithRouter([&](Router& router, TimePoint now) {
          const std::uint64_t from = router.state().next_offset();
          router.OnLogRead(now, read->id, page);
          LogStateChanges(from);
        });
      } catch (const LogServiceError& e) {
        WithRouter([&](Router& router, TimePoint now) {
          router.OnLogReadFailed(now, read->id, e.failure());
        });
      }
      return;
    }
    const auto& append = std::get<LogAppend>(request);
    try {
      log_service_.Append(append.records);
      WithRouter([&](Router& router, TimePoint now) { router.OnLogAppended(now, append.id); });
    } catch (const LogServiceError& e) {
      WithRouter([&](Router& router, TimePoint now) {
        router.OnLogAppendFailed(now, append.id, e.failure());
      });
    }
  }

  void ReadPlatformList() {
    std::vector<PlatformMember> list;
    try {
      for (const ListedInstance& entry : log_service_.ListInstances()) {
        list.push_back({InstanceId::FromName(entry.id), DataCentreId::FromName(entry.data_centre),
                        entry.state == ListedState::kLeaving});
      }
    } catch (const LogServiceError&) {
      return;
    }
    // An empty list would make all instances unknown, so the configured ones are used instead.
    if (list.empty()) list = ConfiguredInstances();
    WithRouter([&](Router& router, TimePoint now) { router.OnPlatformList(now, list); });
  }

  /// Returns the instances of the settings in the format of the platform list.
  std::vector<PlatformMember> ConfiguredInstances() const {
    std::vector<PlatformMember> list;
    for (const PeerSettings& peer : settings_.mesh.peers) {
      list.push_back(
          {InstanceId::FromName(peer.instance), DataCentreId::FromName(peer.data_centre), false});
    }
    return list;
  }

  /// Logs the records from offset `from` on that were not applied, and a change of the
  /// configuration version. The mutex must be held.
  void LogStateChanges(std::uint64_t from) {
    for (const AuditEntry& entry : router_.state().audit()) {
      if (entry.offset < from || entry.outcome == ApplyOutcome::kApplied) continue;
      log_.Warning("record_not_applied", {{"offset", entry.offset},
                                          {"actor", entry.actor},
                                          {"what", entry.what},
                                          {"detail", entry.detail}});
    }
    const std::uint64_t version = router_.state().config()->version;
    if (version != logged_config_version_) {
      log_.Info("configuration_in_force", {{"version", version}});
      logged_config_version_ = version;
    }
  }

  Reply ServeOperator(const EntryRequest& in) {
    PageContext context{settings_, entry_ ? entry_->counters() : EntryCounters{}, mesh_->counters(),
                        targets_.counters(), running_forwards()};
    const std::lock_guard<std::mutex> lock(mutex_);
    return ServePage(in, router_, Now(), context, metrics_);
  }

  std::size_t running_forwards() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_forwards_;
  }

  Settings settings_;
  const JsonLog& log_;
  Incarnation incarnation_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  Router router_;
  std::unordered_map<RequestHandle, Waiter*> waiters_;
  std::deque<SendToTarget> queued_forwards_;
  std::size_t running_forwards_ = 0;
  std::unordered_map<RequestHandle, std::shared_ptr<std::atomic<bool>>> cancel_flags_;
  std::set<TargetId> probing_;
  std::uint64_t logged_config_version_ = 0;
  Metrics metrics_;
  bool stopping_ = false;
  HttpLogService log_service_;
  TargetClient targets_;
  WorkPool log_pool_;
  WorkPool target_pool_;
  std::unique_ptr<Mesh> mesh_;
  std::vector<std::thread> forward_workers_;
  std::thread ticker_;
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
