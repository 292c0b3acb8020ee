#include "dogwoodport/standin/state_cluster.h"

#include <algorithm>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace dogwoodport::standin {
namespace {

constexpr std::int64_t kStartUnixMs = 1'750'000'000'000;

std::size_t EncodedSize(const Message& message) {
  return std::visit(
      [](const auto& body) -> std::size_t {
        if constexpr (std::same_as<std::decay_t<decltype(body)>, std::monostate>) {
          return 0;
        } else {
          msgpack::sbuffer buf;
          msgpack::pack(buf, body);
          return buf.size();
        }
      },
      message);
}

}  // namespace

StateCluster::StateCluster(const StateClusterSettings& settings)
    : settings_(settings), random_(settings.seed) {
  for (const ClusterDataCentre& data_centre : settings.data_centres) {
    for (int n = 1; n <= data_centre.instances; ++n) {
      Node node;
      node.name = data_centre.name + "-" + std::to_string(n);
      node.data_centre = data_centre.name;
      node.identity = {InstanceId::FromName(node.name), Incarnation{0},
                       DataCentreId::FromName(data_centre.name)};
      index_[node.identity.id] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
  }
  UpdateList();
  for (std::size_t n = 0; n < nodes_.size(); ++n) Start(n);
}

std::int64_t StateCluster::unix_ms() const noexcept {
  return kStartUnixMs + now_.time_since_epoch().count() / 1000;
}

StateCluster::Node& StateCluster::node(const std::string& name) {
  return nodes_[index_.at(InstanceId::FromName(name))];
}

void StateCluster::At(TimePoint at, std::function<void()> run) {
  events_.push({at, next_order_++, std::move(run)});
}

void StateCluster::AtNode(std::size_t index, TimePoint at, std::function<void()> run) {
  const Incarnation incarnation = nodes_[index].identity.incarnation;
  At(at, [this, index, incarnation, run = std::move(run)] {
    Node& node = nodes_[index];
    if (!node.alive || node.identity.incarnation != incarnation) return;
    if (now_ < node.paused_until) {
      AtNode(index, node.paused_until, run);
      return;
    }
    run();
    AfterEvent(index);
  });
}

void StateCluster::Start(std::size_t index) {
  Node& node = nodes_[index];
  ++node.identity.incarnation.value;
  node.alive = true;
  node.highest_offset = 0;
  node.version_times.clear();
  node.membership = std::make_unique<Membership>(node.identity, now_);
  node.follower = std::make_unique<LogFollower>(node.identity, node.name, now_);
  // Ticks of the instances do not coincide.
  const Duration shift{static_cast<Duration::rep>(index) * 1'000 % settings_.tick.count()};
  AtNode(index, now_ + shift, [this, index] { Tick(index); });
}

void StateCluster::Tick(std::size_t index) {
  Node& node = nodes_[index];
  std::vector<PlatformMember> list;
  for (const Node& other : nodes_) {
    if (other.alive) list.push_back({other.identity.id, other.identity.data_centre});
  }
  Outbox out;
  node.membership->SetPlatformList(now_, list);
  node.membership->SetCoordinators(node.follower->state().delegations());
  node.membership->SetStatus(node.follower->state().next_offset(), node.follower->ready(), false);
  node.membership->Tick(now_, out);
  node.pauses_noticed += node.membership->TakePause() ? 1 : 0;
  node.follower->Tick(now_, unix_ms(), *node.membership, out);
  Deliver(index, out.Take());
  AtNode(index, now_ + settings_.tick, [this, index] { Tick(index); });
}

void StateCluster::AfterEvent(std::size_t index) {
  Node& node = nodes_[index];
  for (const LogRequest& request : node.follower->TakeRequests()) Execute(index, request);
  for (WriteOutcome& outcome : node.follower->TakeOutcomes()) {
    node.outcomes.push_back(std::move(outcome));
  }
  const std::uint64_t offset = node.follower->state().next_offset();
  node.went_back |= offset < node.highest_offset;
  node.highest_offset = std::max(node.highest_offset, offset);
  node.version_times.try_emplace(node.follower->state().config()->version, now_);
}

void StateCluster::Deliver(std::size_t from, std::vector<Envelope> envelopes) {
  std::uniform_real_distribution<double> chance(0, 1);
  for (Envelope& envelope : envelopes) {
    ++messages_;
    message_bytes_ += EncodedSize(envelope.message);
    const auto it = index_.find(envelope.to);
    if (it == index_.end()) continue;
    const std::size_t to = it->second;
    const bool local = nodes_[from].data_centre == nodes_[to].data_centre;
    const bool cut = !local && (partitioned_.contains(nodes_[from].data_centre) ||
                                partitioned_.contains(nodes_[to].data_centre));
    if (cut || chance(random_) < settings_.message_loss) continue;
    const Duration latency = local ? settings_.local_latency : settings_.remote_latency;
    const InstanceId sender = nodes_[from].identity.id;
    AtNode(to, now_ + latency, [this, to, sender, message = std::move(envelope.message)] {
      Receive(to, sender, message);
    });
  }
}

void StateCluster::Receive(std::size_t index, InstanceId from, const Message& message) {
  Node& node = nodes_[index];
  Outbox out;
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { node.membership->OnMessage(now_, from, body, out); }) {
          node.membership->OnMessage(now_, from, body, out);
        } else if constexpr (requires { node.follower->OnMessage(now_, from, body, out); }) {
          node.follower->OnMessage(now_, from, body, out);
        }
      },
      message);
  Deliver(index, out.Take());
}

void StateCluster::Execute(std::size_t index, const LogRequest& request) {
  const Duration delay = settings_.log_latency + log_.faults().delay;
  // Half of the delay is before the action and half after it.
  At(now_ + delay / 2,
     [this, index, request, answer_at = now_ + delay] { Call(index, request, answer_at); });
}

void StateCluster::Call(std::size_t index, const LogRequest& request, TimePoint answer_at) {
  ++log_calls_;
  const std::uint64_t id = std::visit([](const auto& r) { return r.id; }, request);
  LogFollower& follower = *nodes_[index].follower;
  const bool is_read = std::holds_alternative<LogRead>(request);
  try {
    if (log_cut_.contains(nodes_[index].data_centre)) {
      throw LogServiceError(LogFailure::kUnreachable, "cut off");
    }
    if (const auto* append = std::get_if<LogAppend>(&request)) {
      log_.Append(append->records);
      AtNode(index, answer_at, [this, &follower, id] { follower.OnAppended(now_, id); });
      return;
    }
    const auto& read = std::get<LogRead>(request);
    AtNode(index, answer_at, [this, index, id, page = log_.Read(read.from, read.max)] {
      Outbox out;
      nodes_[index].follower->OnRead(now_, id, page, out);
      Deliver(index, out.Take());
    });
  } catch (const LogServiceError& e) {
    AtNode(index, answer_at, [this, &follower, id, is_read, failure = e.failure()] {
      if (is_read) {
        follower.OnReadFailed(now_, id, failure);
      } else {
        follower.OnAppendFailed(now_, id, failure);
      }
    });
  }
}

void StateCluster::RunFor(Duration span) {
  const TimePoint end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  now_ = end;
}

void StateCluster::SetPartitioned(const std::string& data_centre, bool partitioned) {
  if (partitioned) {
    partitioned_.insert(data_centre);
  } else {
    partitioned_.erase(data_centre);
  }
}

void StateCluster::SetLogReachable(const std::string& data_centre, bool reachable) {
  if (reachable) {
    log_cut_.erase(data_centre);
  } else {
    log_cut_.insert(data_centre);
  }
}

void StateCluster::Pause(const std::string& name, Duration span) {
  node(name).paused_until = now_ + span;
}

void StateCluster::Kill(const std::string& name) {
  node(name).alive = false;
  UpdateList();
}

void StateCluster::Restart(const std::string& name) {
  Start(index_.at(InstanceId::FromName(name)));
  UpdateList();
}

void StateCluster::UpdateList() {
  std::vector<ListedInstance> list;
  for (const Node& entry : nodes_) {
    if (entry.alive) list.push_back({entry.name, entry.data_centre});
  }
  log_.SetInstances(std::move(list));
}

void StateCluster::Bootstrap() {
  std::map<std::string, DelegationChange> changes;
  for (const Node& entry : nodes_) {
    DelegationChange& change = changes[entry.data_centre];
    change.data_centre = entry.identity.data_centre;
    if (change.members.empty()) change.coordinator = entry.identity.id;
    change.members.push_back({entry.identity.id, entry.identity.incarnation});
  }
  for (auto& [name, change] : changes) Publish("bootstrap", std::move(change));
  Publish("bootstrap", ConfigChange{0, SmallDocument(settings_)});
}

std::uint64_t StateCluster::Publish(const std::string& actor, RecordBody body) {
  const Record record{InstanceId::FromName(actor),
                      Incarnation{1},
                      ++publish_sequence_,
                      actor,
                      "test",
                      unix_ms(),
                      std::move(body)};
  const LogFaults faults = log_.faults();
  log_.SetFaults({});
  const std::uint64_t offset = log_.Append({EncodeRecord(record)});
  log_.SetFaults(faults);
  return offset;
}

std::vector<std::string> StateCluster::Behind(std::uint64_t offset) const {
  std::vector<std::string> names;
  for (const Node& entry : nodes_) {
    if (entry.alive && entry.follower->state().next_offset() < offset) names.push_back(entry.name);
  }
  return names;
}

nlohmann::json SmallDocument(const StateClusterSettings& settings) {
  nlohmann::json document = {
      {"defaults", {{"rate", 100}, {"burst", 200}, {"weight", 1}}},
      {"data_centres", nlohmann::json::array()},
      {"services", {{{"name", "khata"}, {"keyed", true}, {"shards", 64}}, {{"name", "dokan"}}}},
      {"accounts", {{{"name", "puja"}}, {{"name", "sen"}}}},
      {"targets", nlohmann::json::array()}};
  int port = 20'000;
  for (const ClusterDataCentre& data_centre : settings.data_centres) {
    document["data_centres"].push_back({{"name", data_centre.name}});
    document["targets"].push_back({{"name", "khata-" + data_centre.name},
                                   {"service", "khata"},
                                   {"data_centre", data_centre.name},
                                   {"host", "127.0.0.1"},
                                   {"port", port++}});
  }
  return document;
}

}  // namespace dogwoodport::standin
