#pragma once

/// @file
/// Virtual-time world for the ownership system: instances, targets, a log and a network with seeded
/// faults, and the checks of sole ownership. It decides nothing that `Ownership` decides; only the
/// proposal of delegations, which belongs to membership, is imitated.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/ownership.h"

namespace dogwoodport::standin {

/// Size and faults of a world.
struct WorldOptions {
  std::uint64_t seed = 1;
  std::uint32_t data_centres = 1;
  std::uint32_t instances = 3;
  std::uint32_t targets = 4;
  std::uint32_t services = 1;
  std::uint32_t shards = 16;
  /// Every how many targets one does not check grants; 0 for none.
  std::uint32_t unchecked_every = 2;
  IsolationPolicy on_isolation = HoldOnIsolation{};
  OwnershipSettings settings;
  Duration min_delay{200};
  Duration max_delay{3'000};
  /// Delay of the few messages that are late.
  Duration late_delay{400'000};
  double late = 0;
  double loss = 0;
  double duplication = 0;
  Duration log_delay{20'000};
  Duration tick{20'000};
  Duration check_interval{5'000};
  /// Clocks run at rates of 1 +- this; two differ by less than kClockDriftPercent.
  double drift = 0.004;
  /// Client requests per check; each picks an instance and a key.
  std::uint32_t requests = 2;
  /// Whether the world proposes delegations when coordinators or members fail.
  bool propose_delegations = true;
};

/// Longest time without an owner per key since the last reset.
struct Unavailability {
  Duration longest{};
  Duration total{};
};

/// A running world. Instances and targets are addressed by index.
class OwnershipWorld {
 public:
  explicit OwnershipWorld(const WorldOptions& options);
  ~OwnershipWorld();

  /// Runs for `span` of true time.
  void Run(Duration span);

  /// Runs until all keys are served, at most `limit`. Returns whether they are.
  bool RunUntilServed(Duration limit);

  // Faults.
  void Crash(std::size_t instance);
  /// Starts a crashed instance as a new incarnation.
  void Restart(std::size_t instance);
  void Pause(std::size_t instance, Duration span);
  /// Cuts the instance off from all other instances.
  void Isolate(std::size_t instance, bool isolated);
  /// Cuts a data centre off from the others and from the log.
  void Partition(std::size_t data_centre, bool partitioned);
  void SetLog(bool up) { log_up_ = up; }
  void Freeze(std::size_t target, bool frozen);
  /// Restarts a target: it loses its grants and its clock starts anew.
  void RestartTarget(std::size_t target);
  void SetLoss(double loss) { options_.loss = loss; }

  // Records of operators and other systems; written at once, also while the log is down for others.
  void WriteState(std::size_t data_centre, DataCentreState state);
  void WriteTargetState(std::size_t target, bool draining);
  /// Names all reachable instances of the data centre; `coordinator` is an instance index.
  void WriteDelegation(std::size_t data_centre, std::optional<std::size_t> coordinator = {});
  /// Declares all groups of the data centre lost whose majority of members is gone. Returns whether
  /// there was one.
  bool DeclareLostGroups(std::size_t data_centre);

  /// Chooses the key of each request, to measure uneven load.
  void SetKeys(std::function<std::string(std::mt19937_64&)> choose) {
    choose_key_ = std::move(choose);
  }

  /// Violations of sole ownership or durability found so far; empty if there is none.
  const std::vector<std::string>& violations() const noexcept { return violations_; }

  /// Starts a new measurement of unavailability.
  void ResetUnavailability();
  Unavailability WorstUnavailability() const;
  /// Returns the number of keys without owner now.
  std::size_t UnservedKeys();
  /// Returns the target of each key as an instance of its home sees it; zero without owner.
  std::vector<TargetId> Owners();
  /// Requests executed per target since the last call.
  std::map<TargetId, std::uint64_t> TakeExecuted() { return std::exchange(executed_, {}); }

  Duration now() const noexcept { return now_; }
  std::size_t CoordinatorOf(std::size_t data_centre) const;
  std::size_t TargetIndex(TargetId id) const;
  Ownership& ownership(std::size_t instance) { return *nodes_[instance].ownership; }
  bool up(std::size_t instance) const { return nodes_[instance].ownership != nullptr; }
  std::size_t instance_count() const noexcept { return nodes_.size(); }
  std::uint64_t messages() const noexcept { return messages_; }
  std::size_t records() const noexcept { return log_.size(); }
  const Config& config() const noexcept { return config_; }

 private:
  struct StateRecord {
    DataCentreId data_centre;
    DataCentreState state;
  };
  struct TargetRecord {
    TargetId target;
    bool draining;
  };
  using LogRecord = std::variant<Delegation, AssignmentBatch, StateRecord, TargetRecord>;
  struct Node {
    InstanceId id;
    std::size_t data_centre = 0;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Ownership> ownership;
    std::int64_t clock_offset = 0;
    double clock_rate = 1;
    bool isolated = false;
    Duration paused_until{};
    std::size_t log_position = 0;
    std::vector<std::function<void()>> backlog;
  };
  struct HeldGrant {
    Epoch epoch;
    std::int64_t expires_at_ms = 0;
  };
  struct Target {
    TargetId id;
    std::size_t data_centre = 0;
    bool checks = false;
    bool frozen = false;
    std::uint64_t boot = 1;
    Duration booted_at{};
    double clock_rate = 1;
    std::map<ShardId, HeldGrant> grants;
    std::vector<std::function<void()>> backlog;
  };
  struct Event {
    Duration at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Key {
    ServiceId service;
    std::string text;
    std::uint64_t hash = 0;
    std::optional<Duration> unserved_since;
    Unavailability unavailable;
  };

  double ClockRate();
  void AddNode(std::size_t data_centre, std::uint32_t number);
  void AddTarget(std::size_t data_centre, std::uint32_t number);
  void MakeKeys(ServiceId service);
  void At(Duration at, std::function<void()> run);
  Duration Delay();
  TimePoint Clock(const Node& node) const;
  std::int64_t TargetClockMs(const Target& target) const;
  bool Paused(const Node& node) const { return now_ < node.paused_until; }
  bool Connected(const Node& a, const Node& b) const;
  bool LogReachable(const Node& node) const;
  /// Runs `run` at the node's process unless it is replaced meanwhile; a paused one runs it later.
  void Deliver(std::size_t node, std::uint64_t incarnation, std::function<void()> run);
  void Start(std::size_t node);
  void TickNode(std::size_t node, std::uint64_t incarnation);
  void ReadLog(std::size_t node, std::uint64_t incarnation);
  void Apply(std::size_t node, const LogRecord& record);
  void Send(std::size_t from, Outbox& out);
  void Act(std::size_t from);
  void SendGrant(std::size_t from, const GrantRequest& request);
  void TakeGrant(std::size_t from, std::uint64_t incarnation, std::size_t target,
                 const GrantRequest& request);
  void Probe();
  void Supervise();
  void Check();
  void CheckRouting();
  void CheckTargets();
  void CheckCommitted();
  void Request();
  bool Serves(const Key& key);
  bool MajorityGone(const Delegation& delegation) const;
  void Violate(const std::string& text);

  WorldOptions options_;
  std::mt19937_64 random_;
  Config config_;
  Duration now_{};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::vector<Target> targets_;
  std::map<InstanceId, std::size_t> node_index_;
  std::map<TargetId, std::size_t> target_index_;
  std::vector<bool> partitioned_;
  std::vector<Key> keys_;
  std::vector<LogRecord> log_;
  bool log_up_ = true;
  std::vector<std::uint64_t> newest_delegation_;
  std::vector<Duration> members_differ_since_;
  std::map<std::pair<std::size_t, ShardId>, Assignment> committed_;
  std::map<TargetId, std::uint64_t> executed_;
  std::function<std::string(std::mt19937_64&)> choose_key_;
  std::vector<std::string> violations_;
  std::uint64_t messages_ = 0;
};

}  // namespace dogwoodport::standin
