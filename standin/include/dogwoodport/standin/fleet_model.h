#pragma once

/// @file
/// Model of a fleet's targets, callers and links in virtual time, which drives one real `Routing`
/// per instance. Not a simulator of a cluster: ownership moves, the log and membership are reduced
/// to their delays.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/core/routing.h"

namespace dogwoodport::standin {

/// One service of a fleet.
struct ServiceModel {
  std::string name;
  bool keyed = false;
  std::uint32_t targets = 0;
  /// Mean service time in microseconds; the distribution is log-normal.
  double mean_us = 10'000;
  double sigma = 0.5;
  /// Part of the requests that may be repeated.
  double repeatable = 1.0;
};

/// A fleet with its own numbers (design, section 1.1).
struct FleetModelSettings {
  std::string name;
  std::vector<std::string> data_centres;
  std::uint32_t instances = 0;
  std::vector<ServiceModel> services;
  std::uint32_t slots = 4;
  std::uint32_t connections = 120;
  /// One way between data centres and inside one.
  Duration between{1'500};
  Duration inside{100};
  Duration connection_cost{1'000};
  Duration probe_cost{6'000};
  Duration report_age{2'000'000};
  /// Targets of a data centre that share one feed.
  std::uint32_t feed_size = 4;
  /// Offered load as part of all slots.
  double utilisation = 0.5;
};

FleetModelSettings Hooghly();
FleetModelSettings Armor();

/// What happens during a run.
struct FleetScenario {
  std::uint64_t seed = 1;
  Duration duration{60'000'000};
  SelectionPolicy policy = EvidencePolicy{};
  bool detect_slow = true;
  bool hedge = true;
  /// A quarter of the targets, by whole feeds, slows down by this factor; 1 for none.
  double slowdown = 1;
  Duration slow_interval{8'000'000};
  Duration slow_length{4'000'000};
  /// Targets of a feed slow down within this time of each other.
  Duration slow_stagger{300'000};
  /// The first data centre is withdrawn and returns cold, unless both are zero.
  Duration withdrawn_at{0};
  Duration returned_at{0};
  /// The first data centre is cut off from the others, unless both are zero.
  Duration cut_off_at{0};
  Duration joined_at{0};
  /// Time until an instance learns of a record of the log.
  Duration log_delay{500'000};
  /// Prepare, grant and commit of a moved shard (design, section 4): the key has no owner
  /// meanwhile.
  Duration move_delay{150'000};
  double message_loss = 0;
  double message_duplication = 0;
};

/// Figures of a run. Latencies are those seen by the entry instance, without the client's link.
struct FleetResult {
  std::vector<float> latency_us;
  std::vector<float> keyless_us;
  std::vector<float> keyed_us;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t spilled = 0;
  std::uint64_t probes = 0;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
  /// Attempts that arrived at a target whose slots were full.
  std::uint64_t over_slots = 0;
  /// Targets that the ownership subsystem relieved of their shards.
  std::uint64_t moves = 0;
  /// Attempts that a cold target failed because of too much load.
  std::uint64_t cold_failures = 0;
  /// Time from the withdrawal to the last new work in the data centre.
  Duration last_new_work{0};

  /// Returns the quantile of latencies in milliseconds; reorders `values`.
  static double QuantileMs(std::vector<float>& values, double quantile);
};

/// Runs a scenario. The same arguments give the same result.
FleetResult RunFleet(const FleetModelSettings& fleet, const FleetScenario& scenario);

}  // namespace dogwoodport::standin
