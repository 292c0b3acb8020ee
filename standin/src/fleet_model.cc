#include "dogwoodport/standin/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace dogwoodport::standin {
namespace {

constexpr std::uint32_t kShardsPerTarget = 16;
constexpr Duration kTickInterval{10'000};
constexpr Duration kReportInterval{500'000};
// A request that ends without an answer is given up by its caller after this time.
constexpr Duration kDeadline{5'000'000};
// A cold target answers this many times slower and warms up over so many requests.
constexpr double kColdFactor = 4.0;
constexpr std::uint32_t kColdRequests = 40;
// A relieved target takes shards again after it has been fast for this time.
constexpr Duration kMoveBack{3'000'000};
constexpr double kLoadBound = 1.25;

struct Target {
  std::size_t service = 0;
  std::size_t data_centre = 0;
  std::size_t feed = 0;
  TargetId id;
  std::uint32_t running = 0;
  TimePoint slow_from;
  TimePoint slow_until;
  std::uint32_t cold_left = 0;
  std::uint64_t boot = 1;
  std::deque<std::uint32_t> reports;
  bool relieved = false;
  TimePoint fast_since;
};

struct Shard {
  std::size_t owner = 0;
  TimePoint available;
};

struct Request {
  std::uint64_t number = 0;
  std::size_t service = 0;
  std::size_t shard = 0;
  std::size_t entry = 0;
  std::size_t instance = 0;
  /// Service time of the first attempt on a fast target.
  double work_us = 0;
  bool repeatable = false;
  bool forwarded = false;
  bool done = true;
  TimePoint arrived;
  std::vector<TargetId> tried;
};

struct RunningAttempt {
  std::size_t request = 0;
  std::uint64_t number = 0;
  std::size_t instance = 0;
  std::size_t target = 0;
  AttemptId id;
  bool open = false;
  bool failed = false;
};

struct Instance {
  std::size_t data_centre = 0;
  InstanceId id;
  std::unique_ptr<Routing> routing;
  /// Waiting requests by service, or by owner after the services.
  std::vector<std::deque<std::size_t>> queues;
  std::vector<bool> retry_set;
  std::vector<std::uint32_t> idle_connections;
};

enum class Kind {
  kArrival,
  kEnter,
  kAnswer,
  kHedge,
  kRetry,
  kTick,
  kMessage,
  kProbed,
  kSlow,
  kReports,
  kState
};

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  Kind kind = Kind::kTick;
  std::size_t a = 0;
  std::size_t b = 0;
  friend bool operator<(const Event& x, const Event& y) {
    return x.at != y.at ? x.at > y.at : x.order > y.order;
  }
};

struct InFlightMessage {
  std::size_t from = 0;
  std::size_t to = 0;
  Message message;
};

class Model {
 public:
  Model(const FleetModelSettings& fleet, const FleetScenario& scenario);
  FleetResult Run();

 private:
  TimePoint At(Duration d) const { return start_ + d; }
  double Uniform() { return Uniform(random_); }
  static double Uniform(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  std::size_t Below(std::size_t n) { return random_() % n; }
  void Push(TimePoint at, Kind kind, std::size_t a = 0, std::size_t b = 0) {
    events_.push(Event{at, order_++, kind, a, b});
  }
  void BuildTargets();
  void BuildInstances();
  Config MakeConfig() const;
  void Handle(const Event& event);
  void Arrive(std::size_t service);
  void Enter(std::size_t request, std::size_t instance);
  bool Try(std::size_t request);
  void Queue(std::size_t request, TimePoint until);
  void Drain(std::size_t instance, std::size_t queue);
  void Forward(std::size_t request, std::size_t data_centre);
  void Send(std::size_t request, const Chosen& chosen, bool hedge);
  void Answer(std::size_t attempt);
  void Finish(std::size_t request);
  void Hedge(std::size_t attempt);
  void CloseLoser(Instance& instance, AttemptId loser);
  void Deliver(std::size_t slot);
  void SendAll(std::size_t instance);
  void TickInstance(std::size_t instance);
  void Probed(std::size_t instance, std::size_t target);
  void StartSlowdown();
  void Reports();
  void ChangeState(std::size_t step);
  void MoveShards();
  void MoveFrom(std::size_t target, Duration delay);
  void MoveBalance(std::size_t to);
  bool Cut(std::size_t a, std::size_t b) const;
  bool Withdrawn(std::size_t target) const;
  std::size_t QueueOf(const Request& request) const;
  double SlowFactor(const Target& target) const;

  FleetModelSettings fleet_;
  FleetScenario scenario_;
  std::mt19937_64 random_;
  /// Arrivals and slowdowns have generators of their own, so that they are the same for each
  /// policy.
  std::mt19937_64 arrival_random_;
  std::mt19937_64 slow_random_;
  TimePoint start_{Duration{1'000'000}};
  TimePoint now_{start_};
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::vector<Target> targets_;
  std::vector<std::vector<Shard>> shards_;
  std::vector<Instance> instances_;
  std::vector<std::vector<std::size_t>> members_;
  std::vector<Request> requests_;
  std::vector<std::size_t> free_requests_;
  std::vector<RunningAttempt> attempts_;
  std::vector<std::size_t> free_attempts_;
  std::vector<InFlightMessage> messages_;
  std::vector<std::size_t> free_messages_;
  std::size_t feeds_ = 0;
  bool withdrawn_ = false;
  std::vector<std::vector<double>> rates_;
  Outbox out_;
  FleetResult result_;
};

Model::Model(const FleetModelSettings& fleet, const FleetScenario& scenario)
    : fleet_(fleet),
      scenario_(scenario),
      random_(scenario.seed),
      arrival_random_(scenario.seed + 1000),
      slow_random_(scenario.seed + 2000) {
  BuildTargets();
  BuildInstances();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    Push(start_ + Duration{static_cast<Duration::rep>(i) * 700}, Kind::kTick, i);
  }
  for (std::size_t s = 0; s < fleet_.services.size(); ++s) Push(start_, Kind::kArrival, s);
  Push(start_, Kind::kReports);
  if (scenario_.slowdown > 1) Push(start_ + scenario_.slow_interval / 2, Kind::kSlow);
  if (scenario_.returned_at.count() == 0) return;
  Push(At(scenario_.withdrawn_at), Kind::kState, 0);
  Push(At(scenario_.returned_at), Kind::kState, 2);
}

void Model::BuildTargets() {
  std::vector<std::size_t> next(fleet_.data_centres.size(), 0);
  for (std::size_t s = 0; s < fleet_.services.size(); ++s) {
    shards_.emplace_back();
    for (std::uint32_t i = 0; i < fleet_.services[s].targets; ++i) {
      Target target{.service = s, .data_centre = (i + s) % fleet_.data_centres.size()};
      target.id = TargetId::FromName(fleet_.services[s].name + "-" + std::to_string(i));
      for (std::uint32_t k = 0; fleet_.services[s].keyed && k < kShardsPerTarget; ++k) {
        shards_[s].push_back(Shard{targets_.size(), start_});
      }
      targets_.push_back(target);
    }
  }
  // Feeds run through one data centre, across its services, in an order that nobody knows.
  std::vector<std::size_t> shuffled(targets_.size());
  for (std::size_t i = 0; i < shuffled.size(); ++i) shuffled[i] = i;
  std::shuffle(shuffled.begin(), shuffled.end(), random_);
  const std::size_t per = targets_.size() / fleet_.feed_size + 1;
  for (const std::size_t i : shuffled) {
    const std::size_t dc = targets_[i].data_centre;
    targets_[i].feed = dc * per + next[dc]++ / fleet_.feed_size;
    feeds_ = std::max(feeds_, targets_[i].feed + 1);
  }
}

Config Model::MakeConfig() const {
  Config config;
  for (const std::string& name : fleet_.data_centres) {
    config.data_centres.push_back({DataCentreId::FromName(name), name, 0});
  }
  for (const ServiceModel& service : fleet_.services) {
    ServiceConfig row{.id = ServiceId::FromName(service.name), .name = service.name};
    row.keyed = service.keyed;
    config.services.push_back(row);
  }
  for (const Target& target : targets_) {
    TargetConfig row{.id = target.id};
    row.service = config.services[target.service].id;
    row.data_centre = config.data_centres[target.data_centre].id;
    row.slots = fleet_.slots;
    row.connections = fleet_.connections;
    config.targets.push_back(row);
  }
  return config;
}

void Model::BuildInstances() {
  members_.resize(fleet_.data_centres.size());
  for (std::uint32_t i = 0; i < fleet_.instances; ++i) {
    Instance instance{.data_centre = i % fleet_.data_centres.size()};
    instance.id = InstanceId::FromName(fleet_.name + "-" + std::to_string(i));
    instance.queues.resize(fleet_.services.size() + targets_.size());
    instance.retry_set.resize(instance.queues.size());
    instance.idle_connections.resize(targets_.size());
    members_[instance.data_centre].push_back(i);
    instances_.push_back(std::move(instance));
  }
  const Config config = MakeConfig();
  for (Instance& instance : instances_) {
    RoutingSettings settings{.self = instance.id, .incarnation = Incarnation{1}};
    settings.data_centre = config.data_centres[instance.data_centre].id;
    settings.policy = scenario_.policy;
    settings.detect_slow = scenario_.detect_slow;
    settings.hedge = scenario_.hedge;
    instance.routing = std::make_unique<Routing>(settings);
    instance.routing->OnConfig(now_, config);
    for (std::size_t dc = 0; dc < members_.size(); ++dc) {
      Delegation delegation{.data_centre = config.data_centres[dc].id, .offset = 1};
      for (const std::size_t m : members_[dc]) {
        delegation.members.push_back({instances_[m].id, Incarnation{1}});
      }
      delegation.coordinator = delegation.members.front().id;
      instance.routing->OnDelegation(now_, delegation, DelegationHistory::kFirst);
    }
  }
}

bool Model::Cut(std::size_t a, std::size_t b) const {
  if (a == b || (a != 0 && b != 0) || scenario_.joined_at.count() == 0) return false;
  return now_ >= At(scenario_.cut_off_at) && now_ < At(scenario_.joined_at);
}

bool Model::Withdrawn(std::size_t target) const {
  return withdrawn_ && targets_[target].data_centre == 0;
}

std::size_t Model::QueueOf(const Request& request) const {
  if (!fleet_.services[request.service].keyed) return request.service;
  return fleet_.services.size() + shards_[request.service][request.shard].owner;
}

double Model::SlowFactor(const Target& target) const {
  const bool slow = now_ >= target.slow_from && now_ < target.slow_until;
  return (slow ? scenario_.slowdown : 1.0) * (target.cold_left > 0 ? kColdFactor : 1.0);
}

void Model::Arrive(std::size_t service) {
  const ServiceModel& s = fleet_.services[service];
  const double rate = fleet_.utilisation * s.targets * fleet_.slots / s.mean_us;
  const double gap = std::exponential_distribution<double>(rate)(arrival_random_);
  Push(now_ + Duration{static_cast<Duration::rep>(gap) + 1}, Kind::kArrival, service);
  std::size_t slot = requests_.size();
  if (free_requests_.empty()) {
    requests_.emplace_back();
  } else {
    slot = free_requests_.back();
    free_requests_.pop_back();
  }
  Request& request = requests_[slot];
  request = Request{.number = ++result_.requests, .service = service, .done = false};
  request.arrived = now_;
  request.repeatable = Uniform(arrival_random_) < s.repeatable;
  const double mu = std::log(s.mean_us) - s.sigma * s.sigma / 2;
  request.work_us = std::lognormal_distribution<double>(mu, s.sigma)(arrival_random_);
  if (s.keyed) request.shard = arrival_random_() % shards_[service].size();
  request.entry = arrival_random_() % instances_.size();
  Enter(slot, request.entry);
}

void Model::Enter(std::size_t slot, std::size_t instance) {
  Request& request = requests_[slot];
  request.instance = instance;
  if (fleet_.services[request.service].keyed) {
    const Shard& shard = shards_[request.service][request.shard];
    const std::size_t home = targets_[shard.owner].data_centre;
    if (home != instances_[instance].data_centre) {
      Forward(slot, home);
      return;
    }
  }
  if (!Try(slot)) Queue(slot, now_ + Duration{1'000});
}

void Model::Forward(std::size_t slot, std::size_t data_centre) {
  Request& request = requests_[slot];
  if (Cut(instances_[request.instance].data_centre, data_centre)) {
    ++result_.refused;
    request.done = true;
    free_requests_.push_back(slot);
    return;
  }
  request.forwarded = true;
  const std::vector<std::size_t>& members = members_[data_centre];
  Push(now_ + fleet_.between, Kind::kEnter, slot, members[Below(members.size())]);
}

/// Returns false when the request has to wait.
bool Model::Try(std::size_t slot) {
  Request& request = requests_[slot];
  Instance& instance = instances_[request.instance];
  const ServiceModel& service = fleet_.services[request.service];
  RouteRequest query{.service = ServiceId::FromName(service.name)};
  query.route = RouteId{query.service.value};
  query.repeatable = request.repeatable;
  query.arrived = request.arrived;
  query.deadline = request.arrived + kDeadline;
  query.forwarded = request.forwarded;
  query.excluded = request.tried;
  if (service.keyed) {
    const Shard& shard = shards_[request.service][request.shard];
    if (now_ < shard.available) return false;
    if (targets_[shard.owner].data_centre != instance.data_centre) {
      Forward(slot, targets_[shard.owner].data_centre);
      return true;
    }
    query.owner = targets_[shard.owner].id;
  }
  const Choice choice = instance.routing->Choose(now_, query, out_);
  SendAll(request.instance);
  if (const auto* chosen = std::get_if<Chosen>(&choice)) {
    Send(slot, *chosen, false);
    return true;
  }
  if (const auto* spill = std::get_if<SpillOver>(&choice)) {
    ++result_.spilled;
    for (std::size_t dc = 0; dc < fleet_.data_centres.size(); ++dc) {
      if (DataCentreId::FromName(fleet_.data_centres[dc]) == spill->data_centre) Forward(slot, dc);
    }
    return true;
  }
  if (std::holds_alternative<Wait>(choice)) return false;
  ++result_.refused;
  request.done = true;
  free_requests_.push_back(slot);
  return true;
}

void Model::Queue(std::size_t slot, TimePoint until) {
  const Request& request = requests_[slot];
  Instance& instance = instances_[request.instance];
  const std::size_t queue = QueueOf(request);
  instance.queues[queue].push_back(slot);
  if (instance.retry_set[queue]) return;
  instance.retry_set[queue] = true;
  Push(until, Kind::kRetry, request.instance, queue);
}

void Model::Drain(std::size_t index, std::size_t queue) {
  std::deque<std::size_t>& waiting = instances_[index].queues[queue];
  while (!waiting.empty()) {
    const std::size_t slot = waiting.front();
    // The owner may have changed while the request waited.
    if (QueueOf(requests_[slot]) != queue) {
      waiting.pop_front();
      Enter(slot, index);
      continue;
    }
    if (!Try(slot)) break;
    waiting.pop_front();
  }
  if (waiting.empty() || instances_[index].retry_set[queue]) return;
  instances_[index].retry_set[queue] = true;
  Push(now_ + Duration{1'000}, Kind::kRetry, index, queue);
}

void Model::Send(std::size_t slot, const Chosen& chosen, bool hedge) {
  Request& request = requests_[slot];
  Instance& instance = instances_[request.instance];
  std::size_t target = 0;
  while (targets_[target].id != chosen.target) ++target;
  std::size_t index = attempts_.size();
  if (free_attempts_.empty()) {
    attempts_.emplace_back();
  } else {
    index = free_attempts_.back();
    free_attempts_.pop_back();
  }
  Target& row = targets_[target];
  RunningAttempt& attempt = attempts_[index];
  attempt = RunningAttempt{slot, request.number, request.instance, target, chosen.attempt, true};
  Duration extra = fleet_.inside * 2;
  if (instance.idle_connections[target] == 0 || chosen.new_connection) {
    extra += fleet_.connection_cost;
  } else {
    --instance.idle_connections[target];
  }
  if (++row.running > fleet_.slots) ++result_.over_slots;
  if (row.cold_left > 0 && row.running > 1 + (kColdRequests - row.cold_left) / 4) {
    attempt.failed = true;
    ++result_.cold_failures;
  }
  if (withdrawn_ && row.data_centre == 0) result_.last_new_work = now_ - At(scenario_.withdrawn_at);
  const ServiceModel& service = fleet_.services[request.service];
  const double mu = std::log(service.mean_us) - service.sigma * service.sigma / 2;
  double work = std::lognormal_distribution<double>(mu, service.sigma)(random_);
  if (!hedge) work = request.work_us;
  const auto duration = Duration{static_cast<Duration::rep>(work * SlowFactor(row))};
  ++result_.attempts;
  instance.routing->OnRequestStarted(now_, chosen.attempt);
  Push(now_ + extra + duration, Kind::kAnswer, index);
  if (const auto hedge_at = instance.routing->HedgeAt(chosen.attempt)) {
    Push(*hedge_at, Kind::kHedge, index, chosen.attempt.value);
  }
}

void Model::Answer(std::size_t index) {
  RunningAttempt& attempt = attempts_[index];
  free_attempts_.push_back(index);
  if (!std::exchange(attempt.open, false)) return;
  Instance& instance = instances_[attempt.instance];
  Target& target = targets_[attempt.target];
  --target.running;
  ++instance.idle_connections[attempt.target];
  if (target.cold_left > 0 && !attempt.failed) --target.cold_left;
  const Outcome outcome = attempt.failed ? Outcome::kFailed : Outcome::kAnswered;
  const auto loser = instance.routing->OnRequestFinished(now_, attempt.id, {.outcome = outcome});
  if (loser) CloseLoser(instance, *loser);
  const std::size_t slot = attempt.request;
  const std::size_t at = attempt.instance;
  const std::size_t owner_queue = fleet_.services.size() + attempt.target;
  const std::size_t service = target.service;
  const bool current = requests_[slot].number == attempt.number && !requests_[slot].done;
  if (!attempt.failed && current) {
    Finish(slot);
  } else if (current) {
    requests_[slot].tried.push_back(target.id);
    if (fleet_.services[service].keyed) requests_[slot].tried.clear();
    if (!Try(slot)) Queue(slot, now_ + Duration{1'000});
  }
  Drain(at, service);
  Drain(at, owner_queue);
}

void Model::CloseLoser(Instance& instance, AttemptId loser) {
  for (RunningAttempt& other : attempts_) {
    if (!other.open || other.id != loser || &instances_[other.instance] != &instance) continue;
    other.open = false;
    --targets_[other.target].running;
    instance.routing->OnRequestFinished(now_, loser, {.outcome = Outcome::kCancelled});
    return;
  }
}

void Model::Finish(std::size_t slot) {
  Request& request = requests_[slot];
  request.done = true;
  Duration latency = now_ - request.arrived;
  if (request.forwarded) latency += fleet_.between;
  const bool keyed = fleet_.services[request.service].keyed;
  const auto us = static_cast<float>(latency.count());
  result_.latency_us.push_back(us);
  (keyed ? result_.keyed_us : result_.keyless_us).push_back(us);
  free_requests_.push_back(slot);
}

void Model::Hedge(std::size_t index) {
  const RunningAttempt& first = attempts_[index];
  if (!first.open) return;
  const auto chosen = instances_[first.instance].routing->Hedge(now_, first.id);
  if (!chosen) return;
  ++result_.hedges;
  const std::size_t slot = first.request;
  Send(slot, *chosen, true);
}

void Model::SendAll(std::size_t from) {
  if (out_.empty()) return;
  for (Envelope& envelope : out_.Take()) {
    std::size_t to = 0;
    while (instances_[to].id != envelope.to) ++to;
    ++result_.messages;
    msgpack::sbuffer buf;
    std::visit(
        [&](const auto& m) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(m)>, std::monostate>) {
            msgpack::pack(buf, m);
          }
        },
        envelope.message);
    result_.message_bytes += buf.size();
    const std::size_t a = instances_[from].data_centre;
    const std::size_t b = instances_[to].data_centre;
    if (Cut(a, b) || Uniform() < scenario_.message_loss) continue;
    const int copies = Uniform() < scenario_.message_duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      std::size_t slot = messages_.size();
      if (free_messages_.empty()) {
        messages_.emplace_back();
      } else {
        slot = free_messages_.back();
        free_messages_.pop_back();
      }
      messages_[slot] = InFlightMessage{from, to, envelope.message};
      Push(now_ + (a == b ? fleet_.inside : fleet_.between) * (i + 1), Kind::kMessage, slot);
    }
  }
}

void Model::Deliver(std::size_t slot) {
  InFlightMessage message = std::move(messages_[slot]);
  free_messages_.push_back(slot);
  Routing& routing = *instances_[message.to].routing;
  const InstanceId from = instances_[message.from].id;
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { routing.OnMessage(now_, from, m, out_); }) {
          routing.OnMessage(now_, from, m, out_);
        }
      },
      message.message);
  SendAll(message.to);
  TargetId target;
  if (const auto* loan = std::get_if<SlotLoan>(&message.message)) target = loan->target;
  if (const auto* back = std::get_if<SlotReturn>(&message.message)) target = back->target;
  if (target == TargetId{}) return;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].id != target) continue;
    const bool keyed = fleet_.services[targets_[i].service].keyed;
    Drain(message.to, keyed ? fleet_.services.size() + i : targets_[i].service);
  }
}

void Model::TickInstance(std::size_t index) {
  Instance& instance = instances_[index];
  Push(now_ + kTickInterval, Kind::kTick, index);
  instance.routing->Tick(now_, out_);
  SendAll(index);
  for (const TargetId due : instance.routing->ProbesDue(now_)) {
    std::size_t target = 0;
    while (targets_[target].id != due) ++target;
    ++result_.probes;
    const auto cost = static_cast<double>(fleet_.probe_cost.count()) * SlowFactor(targets_[target]);
    const Duration probe{static_cast<Duration::rep>(cost)};
    Push(now_ + probe + fleet_.connection_cost + 2 * fleet_.inside, Kind::kProbed, index, target);
  }
  if (index == 0) MoveShards();
}

void Model::Probed(std::size_t index, std::size_t t) {
  const Target& target = targets_[t];
  const auto cost = static_cast<double>(fleet_.probe_cost.count()) * SlowFactor(target);
  instances_[index].routing->OnHealth(
      now_, target.id,
      HealthReport{.reachable = true,
                   .state = target.cold_left > 0 ? HealthState::kCold : HealthState::kReady,
                   .boot = target.boot,
                   .latency = Duration{static_cast<Duration::rep>(cost)}},
      out_);
  SendAll(index);
}

void Model::StartSlowdown() {
  Push(now_ + scenario_.slow_interval, Kind::kSlow);
  std::vector<std::size_t> feeds(feeds_);
  for (std::size_t i = 0; i < feeds_; ++i) feeds[i] = i;
  std::shuffle(feeds.begin(), feeds.end(), slow_random_);
  std::size_t slowed = 0;
  for (const std::size_t feed : feeds) {
    if (slowed >= targets_.size() / 4) return;
    for (Target& target : targets_) {
      if (target.feed != feed || slowed >= targets_.size() / 4) continue;
      const auto delay =
          Uniform(slow_random_) * static_cast<double>(scenario_.slow_stagger.count());
      target.slow_from = now_ + Duration{static_cast<Duration::rep>(delay)};
      target.slow_until = now_ + scenario_.slow_length;
      ++slowed;
    }
  }
}

void Model::Reports() {
  Push(now_ + kReportInterval, Kind::kReports);
  const auto late = static_cast<std::size_t>(fleet_.report_age / kReportInterval);
  for (Target& target : targets_) {
    target.reports.push_back(target.running);
    if (target.reports.size() <= late) continue;
    for (const std::size_t i : members_[target.data_centre]) {
      // The target says that its report is new.
      instances_[i].routing->OnLoadReport(now_, target.id, target.reports.front(), Duration{0});
    }
    target.reports.pop_front();
  }
}

void Model::ChangeState(std::size_t step) {
  // Steps: withdrawn, known to the instances; returned, known to the instances.
  const DataCentreId id = DataCentreId::FromName(fleet_.data_centres[0]);
  if (step == 0 || step == 2) Push(now_ + scenario_.log_delay, Kind::kState, step + 1);
  if (step == 0) withdrawn_ = true;
  if (step == 2) {
    withdrawn_ = false;
    for (Target& target : targets_) {
      if (target.data_centre != 0) continue;
      target.cold_left = kColdRequests;
      ++target.boot;
    }
  }
  if (step % 2 == 0) return;
  for (Instance& instance : instances_) instance.routing->OnDataCentreState(now_, id, step == 3);
}

void Model::MoveFrom(std::size_t from, Duration delay) {
  std::vector<std::size_t> counts(targets_.size());
  std::vector<Shard>& shards = shards_[targets_[from].service];
  for (const Shard& shard : shards) ++counts[shard.owner];
  for (Shard& shard : shards) {
    if (shard.owner != from) continue;
    std::size_t best = from;
    for (std::size_t t = 0; t < targets_.size(); ++t) {
      const bool usable = targets_[t].service == targets_[from].service && !targets_[t].relieved;
      if (!usable || Withdrawn(t)) continue;
      if (best == from || counts[t] < counts[best]) best = t;
    }
    shard.owner = best;
    ++counts[best];
    shard.available = now_ + delay;
  }
}

void Model::MoveShards() {
  for (std::size_t t = 0; t < targets_.size(); ++t) {
    Target& target = targets_[t];
    if (!fleet_.services[target.service].keyed) continue;
    const Routing& coordinator = *instances_[members_[target.data_centre].front()].routing;
    const std::size_t index = *coordinator.targets().IndexOf(target.id);
    const bool slow = SlowGroupDetector::ShouldMove(coordinator.targets().rows()[index]);
    const bool relieve = slow || Withdrawn(t);
    if (relieve) target.fast_since = now_;
    if (relieve && !target.relieved) {
      target.relieved = true;
      ++result_.moves;
      MoveFrom(t, scenario_.move_delay);
    } else if (target.relieved && now_ > target.fast_since + kMoveBack) {
      target.relieved = false;
      MoveBalance(t);
    }
  }
}

void Model::MoveBalance(std::size_t to) {
  // As in placement: only owners above the load bound give shards away (design, section 4).
  std::vector<std::size_t> counts(targets_.size());
  std::vector<Shard>& shards = shards_[targets_[to].service];
  for (const Shard& shard : shards) ++counts[shard.owner];
  const double bound = kLoadBound * kShardsPerTarget;
  for (Shard& shard : shards) {
    const bool above = static_cast<double>(counts[shard.owner]) > bound;
    if (shard.owner == to || !above || counts[to] >= kShardsPerTarget) continue;
    --counts[shard.owner];
    ++counts[to];
    shard.owner = to;
    shard.available = now_ + scenario_.move_delay;
  }
}

void Model::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      return Arrive(event.a);
    case Kind::kEnter:
      return Enter(event.a, event.b);
    case Kind::kAnswer:
      return Answer(event.a);
    case Kind::kHedge:
      if (attempts_[event.a].id.value == event.b) Hedge(event.a);
      return;
    case Kind::kRetry:
      instances_[event.a].retry_set[event.b] = false;
      return Drain(event.a, event.b);
    case Kind::kTick:
      return TickInstance(event.a);
    case Kind::kMessage:
      return Deliver(event.a);
    case Kind::kProbed:
      return Probed(event.a, event.b);
    case Kind::kSlow:
      return StartSlowdown();
    case Kind::kReports:
      return Reports();
    case Kind::kState:
      return ChangeState(event.a);
  }
}

FleetResult Model::Run() {
  while (!events_.empty() && events_.top().at < At(scenario_.duration)) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  return std::move(result_);
}

}  // namespace

FleetModelSettings Hooghly() {
  FleetModelSettings fleet{.name = "hooghly"};
  fleet.data_centres = {"barasat", "bowbazar", "howrah", "serampore"};
  fleet.instances = 10;
  fleet.services = {{.name = "dokan", .targets = 10, .mean_us = 5'000},
                    {.name = "farmaish", .targets = 8, .mean_us = 15'000, .repeatable = 0.5},
                    {.name = "khata", .keyed = true, .targets = 15, .mean_us = 8'000}};
  return fleet;
}

FleetModelSettings Armor() {
  FleetModelSettings fleet{.name = "armor"};
  fleet.data_centres = {"bzh-west-a", "bzh-west-b", "bzh-west-c"};
  fleet.instances = 11;
  fleet.services = {{.name = "proofs", .targets = 12, .mean_us = 10'000},
                    {.name = "orders", .targets = 8, .mean_us = 15'000, .repeatable = 0.5},
                    {.name = "prepress", .keyed = true, .targets = 13, .mean_us = 20'000}};
  fleet.slots = 6;
  fleet.connections = 60;
  fleet.between = Duration{1'000};
  return fleet;
}

double FleetResult::QuantileMs(std::vector<float>& values, double quantile) {
  if (values.empty()) return 0;
  const auto n = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
  return values[n] / 1000.0;
}

FleetResult RunFleet(const FleetModelSettings& fleet, const FleetScenario& scenario) {
  return Model(fleet, scenario).Run();
}

}  // namespace dogwoodport::standin
