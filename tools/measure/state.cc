// Measures of the control state: seconds until a change is in force on all instances (measure 6),
// and the slopes of memory and time against the sizes of the fleet (measure 8).

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>
#include <random>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/log_follower.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/snapshot.h"
#include "dogwoodport/standin/state_cluster.h"
#include "measure/report.h"

namespace dogwoodport::measure {
namespace {

using nlohmann::json;
using standin::StateCluster;
using standin::StateClusterSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// P5 and P12 of the design page.
constexpr double kInForceSeconds = 3;
/// Control cost per node at the design size: 32 MB, 1.5% of a core, 13 KB/s.
constexpr double kMemoryBytes = 32e6;
constexpr double kCpuMicrosecondsPerSecond = 15'000;
constexpr double kNetworkBytesPerSecond = 13'000;
constexpr double kConfigChangesPerSecond = 11'000.0 / 86'400;
/// "Several hundred appends a second": the CPU budget must hold if all of them are records.
constexpr double kRecordsPerSecond = 300;
constexpr double kTicksPerSecond = 50;
constexpr int kDesignNodes = 7'900;
constexpr int kDesignDataCentres = 18;

// --- Measure 6 --------------------------------------------------------------------------------

StateClusterSettings Hooghly(std::uint64_t seed) {
  StateClusterSettings settings;
  settings.data_centres = {{"barasat", 3}, {"bowbazar", 3}, {"howrah", 3}, {"serampore", 2}};
  settings.message_loss = 0.01;
  settings.seed = seed;
  return settings;
}

json DocumentWithSecret(const StateClusterSettings& settings, double rate) {
  json document = SmallDocument(settings);
  document["defaults"]["rate"] = rate;
  const json secret = {
      {"key_id", "k1"}, {"salt", std::string(16, 'a')}, {"hash", std::string(64, 'b')}};
  document["accounts"][0]["secrets"] = json::array({secret});
  return document;
}

/// A started cluster of the Hooghly deployment.
class InForce {
 public:
  explicit InForce(std::uint64_t seed)
      : settings_(Hooghly(seed)), cluster_(settings_), random_(seed) {
    cluster_.Bootstrap();
    cluster_.RunFor(seconds(3));
    Publish();
    Await();
  }

  StateCluster& cluster() { return cluster_; }

  void Publish() {
    const double rate = 10 + static_cast<double>(version_);
    cluster_.Publish("asha", ConfigChange{version_, DocumentWithSecret(settings_, rate)});
    ++version_;
  }

  /// Seconds from now until all instances hold the last version; at most 60.
  double Await() {
    return Until([&](const ControlState& state) { return state.config()->version == version_; });
  }

  /// Seconds until no instance accepts the only secret of the first account.
  double WithdrawSecret() {
    cluster_.Publish("asha", SecretChange{"puja", 0, SecretAction::kWithdraw, {"k1"}});
    return Until(
        [](const ControlState& state) { return state.config()->accounts[0].secrets.empty(); });
  }

  /// Lets time pass so that changes fall on all phases of the polls.
  void Rest() { cluster_.RunFor(Duration(2'000'000 + random_() % 500'000)); }

 private:
  template <typename Holds>
  double Until(Holds holds) {
    const TimePoint start = cluster_.now();
    const auto all = [&] {
      const auto& nodes = cluster_.nodes();
      return std::all_of(nodes.begin(), nodes.end(),
                         [&](const auto& node) { return holds(node.follower->state()); });
    };
    while (!all() && cluster_.now() - start < seconds(60)) cluster_.RunFor(milliseconds(5));
    return std::chrono::duration<double>(cluster_.now() - start).count();
  }

  StateClusterSettings settings_;
  StateCluster cluster_;
  std::mt19937_64 random_;
  std::uint64_t version_ = 1;
};

double WorstOf(int rounds, const std::function<double(int)>& run) {
  double worst = 0;
  for (int n = 0; n < rounds; ++n) worst = std::max(worst, run(n));
  return worst;
}

double WorstWithLog(std::uint64_t seed, Duration delay) {
  InForce run(seed);
  run.cluster().log().SetFaults({false, delay, 0});
  return WorstOf(50, [&](int) {
    run.Rest();
    run.Publish();
    return run.Await();
  });
}

/// A change that one data centre has read when the log goes down reaches the others by mesh.
double WorstAtOutage(std::uint64_t seed) {
  return WorstOf(10, [&](int n) {
    InForce run(seed + static_cast<std::uint64_t>(n));
    run.Rest();
    for (const char* name : {"bowbazar", "howrah", "serampore"}) {
      run.cluster().SetLogReachable(name, false);
    }
    run.Publish();
    run.cluster().RunFor(milliseconds(150));
    run.cluster().log().SetFaults({true, Duration{0}, 0});
    return run.Await() + 0.150;
  });
}

/// A change that an instance submitted during an outage, from the moment the log is back.
double WorstAfterOutage(std::uint64_t seed) {
  return WorstOf(10, [&](int n) {
    InForce run(seed + static_cast<std::uint64_t>(n));
    run.cluster().log().SetFaults({true, Duration{0}, 0});
    run.cluster().RunFor(seconds(60));
    run.Rest();
    run.cluster().log().SetFaults({});
    run.Publish();
    return run.Await();
  });
}

double WorstWithoutLogInOneDataCentre(std::uint64_t seed) {
  InForce run(seed);
  run.cluster().SetLogReachable("howrah", false);
  run.cluster().RunFor(seconds(5));
  return WorstOf(20, [&](int) {
    run.Rest();
    run.Publish();
    return run.Await();
  });
}

double WorstSecret(std::uint64_t seed, Duration delay) {
  return WorstOf(10, [&](int n) {
    InForce run(seed + static_cast<std::uint64_t>(n));
    run.cluster().log().SetFaults({false, delay, 0});
    run.Rest();
    return run.WithdrawSecret();
  });
}

void MeasureInForce(std::uint64_t seed, Report& report) {
  const auto add = [&](const std::string& id, double value) {
    report.Add({"6." + id, value, "s", kInForceSeconds, Relation::kAtMost, std::nullopt, seed});
  };
  add("config.log_up", WorstWithLog(seed, Duration{0}));
  add("config.log_slow_1s", WorstWithLog(seed, seconds(1)));
  add("config.log_slow_2s", WorstWithLog(seed, seconds(2)));
  add("config.log_goes_down", WorstAtOutage(seed));
  add("config.log_back", WorstAfterOutage(seed));
  add("config.one_data_centre_without_log", WorstWithoutLogInOneDataCentre(seed));
  add("secret_withdrawn.log_up", WorstSecret(seed, Duration{0}));
  add("secret_withdrawn.log_slow_2s", WorstSecret(seed, seconds(2)));
}

// --- Measure 8 --------------------------------------------------------------------------------

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// CPU time rather than elapsed time, since the bounds are shares of a core.
double MicrosecondsOf(int rounds, const std::function<void(int)>& run) {
  const std::clock_t start = std::clock();
  for (int n = 0; n < rounds; ++n) run(n);
  return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC / rounds;
}

json FleetDocument(int targets) {
  json document = json::parse(R"({"services": [], "data_centres": [], "targets": []})");
  const int services = std::max(1, targets / 400);
  for (int n = 0; n < kDesignDataCentres; ++n) {
    document["data_centres"].push_back({{"name", "dc-" + std::to_string(n)}});
  }
  for (int n = 0; n < services; ++n) {
    document["services"].push_back({{"name", "svc-" + std::to_string(n)}, {"keyed", true}});
  }
  for (int n = 0; n < targets; ++n) {
    document["targets"].push_back(
        {{"name", "target-" + std::to_string(n)},
         {"service", "svc-" + std::to_string(n % services)},
         {"data_centre", "dc-" + std::to_string(n % kDesignDataCentres)},
         {"host", "10." + std::to_string(n / 65536) + "." + std::to_string(n / 256 % 256) + "." +
                      std::to_string(n % 256)},
         {"port", 8080}});
  }
  return document;
}

/// A state with its records numbered by one writer each.
class Folder {
 public:
  void Apply(RecordBody body) {
    const Record record{InstanceId{1},  Incarnation{1}, ++sequence_, "asha", "reason", 0,
                        std::move(body)};
    ApplyText(EncodeRecord(record));
  }

  void ApplyText(const std::string& text) {
    const ApplyResult result = state.ApplyText(state.next_offset(), text);
    if (result.outcome != ApplyOutcome::kApplied) throw StateError(result.detail);
  }

  void AssignAllShards() {
    const auto data_centre = DataCentreId::FromName("dc-0");
    const std::uint64_t delegation = state.next_offset();
    Apply(DelegationChange{data_centre, 0, {{InstanceId{5}}}, InstanceId{5}});
    const auto config = state.config();
    for (const ServiceConfig& service : config->services) {
      AssignmentBatch batch{data_centre, delegation, {}};
      for (std::uint32_t n = 0; n < service.shard_count; ++n) {
        batch.moves.push_back({{service.id, n}, TargetId{n + 1}, {delegation, n + 1}});
      }
      Apply(std::move(batch));
    }
  }

  /// Moves a target's port by a patch; the text of the record is returned, not applied.
  std::string PortPatch(std::uint64_t version, int port) {
    const json operation = {{"op", "replace"}, {"path", "/targets/0/port"}, {"value", port}};
    const Record record{InstanceId{1},
                        Incarnation{1},
                        ++sequence_,
                        "asha",
                        "reason",
                        0,
                        ConfigPatch{version, json::array({operation})}};
    return EncodeRecord(record);
  }

  ControlState state;

 private:
  std::uint64_t sequence_ = 0;
};

void MeasureTargets(std::uint64_t seed, Report& report) {
  const auto add = [&](const std::string& what, int size, double value, const char* unit,
                       double bound) {
    report.Add({"8.slope.state." + what + ".targets_" + std::to_string(size), value, unit, bound,
                Relation::kAtMost, std::nullopt, seed});
  };
  // The first configuration fills caches of the allocator that are no part of the state.
  {
    Folder warm_up;
    warm_up.Apply(ConfigChange{0, FleetDocument(33)});
  }
  for (const int size : {33, 800, kDesignNodes}) {
    const double before = HeapBytes();
    Folder folder;
    folder.Apply(ConfigChange{0, FleetDocument(size)});
    folder.AssignAllShards();
    add("bytes", size, HeapBytes() - before, "B", kMemoryBytes);
    std::uint64_t version = 1;
    const int rounds = size > 1000 ? 5 : 50;
    add("us_per_config_change", size,
        MicrosecondsOf(rounds,
                       [&](int n) { folder.ApplyText(folder.PortPatch(version++, 9000 + n)); }),
        "us", kCpuMicrosecondsPerSecond / kConfigChangesPerSecond);
    std::uint64_t target_version = 0;
    add("us_per_record", size,
        MicrosecondsOf(
            2000,
            [&](int) {
              folder.Apply(TargetChange{"target-7", target_version, TargetState::kDraining});
              ++target_version;
            }),
        "us", kCpuMicrosecondsPerSecond / kRecordsPerSecond);
    std::vector<SnapshotChunk> chunks;
    add("us_per_snapshot", size,
        MicrosecondsOf(1, [&](int) { chunks = MakeSnapshot(folder.state); }), "us",
        kCpuMicrosecondsPerSecond * 60);
    add("us_per_snapshot_read", size,
        MicrosecondsOf(1,
                       [&](int) {
                         SnapshotAssembler assembler;
                         for (const SnapshotChunk& chunk : chunks) assembler.Add(chunk, 0);
                         if (!assembler.TakeLatest()) throw StateError("the snapshot was not read");
                       }),
        "us", kCpuMicrosecondsPerSecond * 60);
  }
}

/// Members of one data centre when the instances are spread over 18, or over 4 as today.
std::vector<PlatformMember> OwnDataCentre(int instances) {
  const int data_centres = instances > 100 ? kDesignDataCentres : 4;
  std::vector<PlatformMember> list;
  for (int n = 0; n < std::max(1, instances / data_centres); ++n) {
    list.push_back({InstanceId{static_cast<std::uint64_t>(n) + 1}, DataCentreId{1}, false});
  }
  return list;
}

/// Follower and membership of a coordinator that hears all other members.
class Coordinator {
 public:
  explicit Coordinator(int instances)
      : list_(OwnDataCentre(instances)),
        self_{InstanceId{1}, Incarnation{1}, DataCentreId{1}},
        membership(self_, now_),
        follower(self_, "instance", now_) {
    Delegation delegation{self_.data_centre, 1, {{self_.id, self_.incarnation}}, self_.id};
    membership.SetCoordinators({{self_.data_centre, delegation}});
    membership.SetPlatformList(now_, list_);
  }

  void Step(int n) {
    now_ += milliseconds(20);
    Outbox out;
    if (n % 10 == 0) HearAll(n / 10 + 1, out);
    membership.Tick(now_, out);
    follower.Tick(now_, 0, membership, out);
    for (const LogRequest& request : follower.TakeRequests()) {
      const auto* read = std::get_if<LogRead>(&request);
      if (read != nullptr) follower.OnRead(now_, read->id, {1, 1, {}}, out);
    }
    out.Take();
  }

 private:
  void HearAll(int sequence, Outbox& out) {
    for (const PlatformMember& member : list_) {
      const Heartbeat beat{Incarnation{1}, DataCentreId{1}, static_cast<std::uint64_t>(sequence), 1,
                           true};
      membership.OnMessage(now_, member.id, beat, out);
    }
  }

  TimePoint now_;
  std::vector<PlatformMember> list_;
  InstanceIdentity self_;

 public:
  Membership membership;
  LogFollower follower;
};

void MeasureInstances(std::uint64_t seed, Report& report) {
  const auto add = [&](const std::string& what, int size, double value, const char* unit,
                       double bound) {
    report.Add({"8.slope.state." + what + ".instances_" + std::to_string(size), value, unit, bound,
                Relation::kAtMost, std::nullopt, seed});
  };
  for (const int size : {11, 800, kDesignNodes}) {
    const double before = HeapBytes();
    Coordinator coordinator(size);
    for (int n = 0; n < 20; ++n) coordinator.Step(n);
    // Each instance has written a record, so the fold remembers it as a writer.
    ControlState state;
    for (int n = 0; n < size; ++n) {
      const Record record{
          InstanceId{static_cast<std::uint64_t>(n) + 1},     Incarnation{1}, 1, "i", "", 0,
          QuarantineChange{1, static_cast<std::uint64_t>(n)}};
      state.Apply(state.next_offset(), record);
    }
    add("bytes", size, HeapBytes() - before, "B", kMemoryBytes);
    add("us_per_tick", size, MicrosecondsOf(2000, [&](int n) { coordinator.Step(20 + n); }), "us",
        kCpuMicrosecondsPerSecond / kTicksPerSecond);
  }
}

void MeasureChanges(std::uint64_t seed, Report& report) {
  Folder folder;
  const double before = HeapBytes();
  folder.Apply(ConfigChange{0, FleetDocument(33)});
  std::uint64_t version = 1;
  for (const int size : {1'100, 5'500, 11'000}) {
    for (; version < static_cast<std::uint64_t>(size); ++version) {
      folder.ApplyText(folder.PortPatch(version, 9000 + static_cast<int>(version % 1000)));
    }
    report.Add({"8.slope.state.bytes.changes_" + std::to_string(size), HeapBytes() - before, "B",
                kMemoryBytes, Relation::kAtMost, std::nullopt, seed});
  }
}

/// Bytes of messages that an instance sends for membership and state while nothing changes.
void MeasureNetwork(std::uint64_t seed, Report& report) {
  for (const int per_data_centre : {3, 12, 24}) {
    StateClusterSettings settings;
    const int data_centres = per_data_centre == 3 ? 4 : 8;
    for (int n = 0; n < data_centres; ++n) {
      settings.data_centres.push_back({"dc-" + std::to_string(n), per_data_centre});
    }
    StateCluster cluster(settings);
    cluster.Bootstrap();
    cluster.RunFor(seconds(3));
    const std::uint64_t before = cluster.message_bytes();
    cluster.RunFor(seconds(10));
    const int instances = data_centres * per_data_centre;
    report.Add({"8.slope.state.sent_bytes_per_s.instances_" + std::to_string(instances),
                static_cast<double>(cluster.message_bytes() - before) / 10 / instances, "B/s",
                kNetworkBytesPerSecond, Relation::kAtMost, std::nullopt, seed});
  }
}

const Registration registration("state", [](std::uint64_t seed, Report& report) {
  MeasureInForce(seed, report);
  MeasureTargets(seed, report);
  MeasureInstances(seed, report);
  MeasureChanges(seed, report);
  MeasureNetwork(seed, report);
});

}  // namespace
}  // namespace dogwoodport::measure
