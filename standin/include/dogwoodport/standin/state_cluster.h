#pragma once

/// @file
/// Instances with membership and log followers over one log in virtual time, with faults: log
/// outage, slowness and lost answers, partitions, pauses, restarts and losses.

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/core/log_follower.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/log_service/memory_log_service.h"

namespace dogwoodport::standin {

/// Instances of one data centre.
struct ClusterDataCentre {
  std::string name;
  int instances = 0;
};

struct StateClusterSettings {
  std::vector<ClusterDataCentre> data_centres;
  Duration tick{20'000};
  Duration local_latency{200};
  Duration remote_latency{1'500};
  /// Time of a call of the log service without faults.
  Duration log_latency{5'000};
  /// Share of messages that are lost.
  double message_loss = 0;
  std::uint64_t seed = 1;
};

/// The cluster. Instances are called "<data centre>-<n>" with n from 1.
class StateCluster {
 public:
  explicit StateCluster(const StateClusterSettings& settings);

  struct Node {
    std::string name;
    std::string data_centre;
    InstanceIdentity identity;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<LogFollower> follower;
    bool alive = true;
    /// Pauses that the instance noticed.
    int pauses_noticed = 0;
    std::vector<WriteOutcome> outcomes;
    /// Greatest offset that its state reached in this incarnation.
    std::uint64_t highest_offset = 0;
    bool went_back = false;
    /// When the state first held each version of the configuration.
    std::map<std::uint64_t, TimePoint> version_times;
    TimePoint paused_until;
  };

  /// Runs all events up to `now() + span`.
  void RunFor(Duration span);

  TimePoint now() const noexcept { return now_; }
  /// Wall clock of all instances.
  std::int64_t unix_ms() const noexcept;
  MemoryLogService& log() noexcept { return log_; }
  std::vector<Node>& nodes() noexcept { return nodes_; }
  Node& node(const std::string& name);

  /// Cuts a data centre off from the others, or reconnects it.
  void SetPartitioned(const std::string& data_centre, bool partitioned);
  /// Cuts a data centre or an instance off from the log, or reconnects it.
  void SetLogReachable(const std::string& name, bool reachable);
  void Pause(const std::string& name, Duration span);
  void Kill(const std::string& name);
  /// Starts the instance with a new incarnation and an empty state.
  void Restart(const std::string& name);

  /// Appends delegations that make the first instance of each data centre its coordinator, and
  /// updates the platform's list.
  void Bootstrap();
  /// Appends a record of an operator to the log, whatever its faults, and returns its offset.
  std::uint64_t Publish(const std::string& actor, RecordBody body);

  /// Returns the instances that live and whose state's next offset is below `offset`.
  std::vector<std::string> Behind(std::uint64_t offset) const;
  /// Messages and their encoded bytes since the start.
  std::uint64_t messages() const noexcept { return messages_; }
  std::uint64_t message_bytes() const noexcept { return message_bytes_; }
  std::uint64_t log_calls() const noexcept { return log_calls_; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(TimePoint at, std::function<void()> run);
  /// Runs `run` at `at` if the node is still in the incarnation it has now, after a pause if any.
  void AtNode(std::size_t index, TimePoint at, std::function<void()> run);
  void Start(std::size_t index);
  void Tick(std::size_t index);
  void Deliver(std::size_t from, std::vector<Envelope> envelopes);
  void Receive(std::size_t index, InstanceId from, const Message& message);
  void Execute(std::size_t index, const LogRequest& request);
  void Call(std::size_t index, const LogRequest& request, TimePoint answer_at);
  void AfterEvent(std::size_t index);
  void UpdateList();

  StateClusterSettings settings_;
  MemoryLogService log_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::map<InstanceId, std::size_t> index_;
  std::set<std::string> partitioned_;
  std::set<std::string> log_cut_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t publish_sequence_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
  std::uint64_t log_calls_ = 0;
  TimePoint now_;
};

/// Returns a small valid configuration document with the data centres of `settings`.
nlohmann::json SmallDocument(const StateClusterSettings& settings);

}  // namespace dogwoodport::standin
