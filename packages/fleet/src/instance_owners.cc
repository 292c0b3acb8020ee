// Distribution of the ownership table, and take-over of the coordinator role.

#include <algorithm>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "dogwoodport/fleet/instance.h"

namespace dogwoodport::fleet {

using detail::HashOf;

namespace {

/// Minimum capacity of a target with a limit, in requests per second. The planner needs a positive
/// one.
constexpr double kMinCapacity = 0.1;
constexpr Duration kTableReadInterval{1'000'000};
/// Changes to the table within this time, which grows with the number of other instances, are sent
/// to them in one message.
constexpr Duration kTableBatchDelay{5'000};
constexpr Duration kTableBatchDelayPerPeer{500};
/// Maximum time that a report is in transit.
constexpr Duration kMaxReportDelay{500'000};
/// Time after the start, in addition to the report interval, before this instance may take over. It
/// allows reports of an existing coordinator to arrive.
constexpr Duration kStartupQuietTime{450'000};
/// Instances take over one after the other, those with the largest processor share first. The
/// delays after the first `kFirstTakeOverCandidates` are shorter, because later instances are only
/// needed if all of these are lost.
constexpr Duration kTakeOverStep{150'000};
constexpr Duration kLateTakeOverStep{25'000};
constexpr std::size_t kFirstTakeOverCandidates = 16;
/// Number of instances that read the table from the store while there is no coordinator. The others
/// receive it from the next coordinator.
constexpr std::size_t kTableReaders = 16;
/// Time for which a replaced coordinator does not attempt to take over again.
constexpr Duration kStepDownPause{4'000'000};
/// Age of a coordinator's data from the store above which it counts as disconnected from the store,
/// and the age below which another instance may replace it.
constexpr std::uint32_t kMaxCoordinatorStoreAgeMs = 3'500;
constexpr Duration kMaxCandidateStoreAge{2'000'000};
/// Time without responses to token requests, and without reports, after which a coordinator counts
/// as lost.
constexpr Duration kLenderTimeout{800'000};

/// Returns the time without a coordinator after which an instance preceded by `rank` others takes
/// over.
Duration TakeOverDelay(std::size_t rank) {
  const std::size_t first = std::min(rank + 1, kFirstTakeOverCandidates);
  return kTakeOverStep * static_cast<Duration::rep>(first) +
         kLateTakeOverStep * static_cast<Duration::rep>(rank + 1 - first);
}

}  // namespace

void Instance::OnReport(const Peer& peer) {
  const PeerReport& report = peer.report;
  target_contacts_.Add(loop_.now() - std::chrono::milliseconds(report.targets_age_ms));
  MarkLeaving(report.leaving_targets);
  view_.quarantine.OnReport(report.quarantine, loop_.now());
  view_.target_limits.OnReport(report.target_limits, loop_.now());
  if (report.leading && coordinator_.leading() && report.generation > view_.keys.generation) {
    coordinator_.StepDown("another instance leads a newer generation");
    leaderless_since_ = loop_.now() + kStepDownPause;
  }
  if (!coordinator_.leading()) return;
  if (report.urgent) peers_.ScheduleUrgentDigest();
  const bool same_generation = report.generation == view_.keys.generation;
  if (same_generation && report.revision >= view_.keys.revision) {
    outdated_peers_.erase(report.address);
    return;
  }
  // A report may have been sent before the latest change arrived. If it shows an older table than
  // the one that was current at the time of the previous report, a message has been lost.
  const auto [it, is_new] = outdated_peers_.try_emplace(report.address, view_.keys.revision);
  const bool lost =
      !same_generation || report.wants_table || (!is_new && report.revision < it->second);
  if (!is_new) it->second = view_.keys.revision;
  if (lost) peers_.SendTable(Encode(view_.keys), report.address);
}

void Instance::OnTable(const std::string& bytes) {
  wants_table_ = false;
  AdoptTable(DecodeKeyTable(bytes), "peer");
}

void Instance::OnTableChange(const std::string& bytes) {
  if (coordinator_.leading()) return;
  const KeyTableChange change = DecodeKeyTableChange(bytes);
  const bool already_applied = std::pair(change.generation, change.to_revision) <=
                               std::pair(view_.keys.generation, view_.keys.revision);
  if (already_applied) return;
  KeyTable table = view_.keys;
  if (Apply(change, table)) {
    AdoptTable(std::move(table), "change");
    return;
  }
  if (wants_table_) return;
  wants_table_ = true;
  peers_.ReportNow();
}

void Instance::AdoptTable(KeyTable table, const char* source) {
  if (coordinator_.leading() || !table.NewerThan(view_.keys)) return;
  coordinator_.ObserveGeneration(table.generation);
  log_.Write(LogLevel::kInfo, "owners_changed",
             {{"generation", table.generation}, {"revision", table.revision}, {"source", source}});
  view_.keys = std::move(table);
  forwarder_.DispatchWaiting();
}

void Instance::ReadTableFromStore() {
  reading_table_ = true;
  store_.ReadNewest(Feed::kOwnership, [this](const ReadOutcome& outcome) {
    reading_table_ = false;
    next_table_read_ = loop_.now() + kTableReadInterval;
    const auto* const records = std::get_if<StoreRecords>(&outcome);
    if (records == nullptr || records->records.empty()) return;
    const StoreRecord& newest = records->records.back();
    try {
      AdoptTable(DecodeRecordedTable(newest.value.value_or(""), newest.offset), "store");
    } catch (const std::exception& e) {
      log_.Write(LogLevel::kError, "ownership_unreadable", {{"error", e.what()}});
    }
  });
}

void Instance::CallTarget(const std::string& address, net::HttpRequest request, Duration timeout,
                          net::CallConnection connection, net::HttpCaller::Callback done) {
  const std::string id = settings_.peer_address + "-" + std::to_string(settings_.incarnation) +
                         "-" + std::to_string(++calls_to_targets_);
  protocol_.SetCallId(request, id);
  caller_.Call(address, request, timeout, std::move(done), connection,
               [this, id, address](const net::HttpResponse& response) {
                 const std::string answered = protocol_.ReadResponse(response).request_id;
                 if (answered == id) return net::ResponseMatch::kOwn;
                 // Some targets repeat only the ids of forwarded requests.
                 if (answered.empty()) return net::ResponseMatch::kUnidentified;
                 log_.Write(LogLevel::kWarning, "foreign_call_answer",
                            {{"address", address},
                             {"status", response.status},
                             {"call_id", id},
                             {"answer_id", answered}});
                 return net::ResponseMatch::kForeign;
               });
}

CoordinatorPorts Instance::MakePorts() {
  CoordinatorPorts ports;
  ports.store = &store_;
  ports.protocol = &protocol_;
  ports.directory = &view_.directory;
  ports.log = &log_;
  // The current time is read again, so that a grant is not based on a decision made before the
  // process was suspended.
  ports.now = [this] { return loop_.Refresh(); };
  ports.call = [this](const std::string& address, const net::HttpRequest& request, Duration timeout,
                      net::CallConnection connection, net::HttpCaller::Callback done) {
    CallTarget(address, request, timeout, connection, std::move(done));
  };
  ports.services = [this] {
    std::vector<std::string> names;
    if (!view_.config) return names;
    for (const auto& [name, service] : view_.config->services()) {
      if (service.keyed) names.push_back(name);
    }
    return names;
  };
  ports.load = [this](const std::string& service) { return KeyLoad(service); };
  ports.capacity = [this](const Target& target) { return CapacityOf(target); };
  ports.may_own = [this](const Target& target) {
    return target.entry.phase == TargetPhase::kReady &&
           view_.withdrawn_data_centres.count(target.entry.data_centre) == 0;
  };
  ports.may_grow = [this](const Target& target) {
    return view_.Usable(target, loop_.now()) && !target.cold(loop_.now()) && !target.doubtful;
  };
  ports.others_follow = [this](const std::optional<std::vector<std::string>>& addresses) {
    // Reports in transit at the time of the take-over do not count.
    const TimePoint since = coordinator_.took_over_at() + kMaxReportDelay;
    if (addresses) return peers_.Follow(*addresses, view_.keys.generation, since);
    return registry_read_ && peers_.AllFollow(view_.keys.generation, since);
  };
  ports.earlier_loans_expired = [this](std::uint64_t generation) {
    return EarlierLoansEnded(generation);
  };
  ports.on_table = [this](const KeyTable& table) { PublishTable(table); };
  return ports;
}

void Instance::PublishTable(const KeyTable& table) {
  view_.keys = table;
  forwarder_.DispatchWaiting();
  // Many ranges become ready at nearly the same time after a take-over, so their changes are
  // batched.
  if (table_timer_ != net::TimerId{}) return;
  const Duration delay = kTableBatchDelay + kTableBatchDelayPerPeer * peers_.peers().size();
  table_timer_ = loop_.RunAfter(delay, [this] {
    table_timer_ = net::TimerId{};
    if (!coordinator_.leading()) return;
    if (const auto change = Difference(sent_table_, view_.keys)) {
      peers_.SendTableChange(Encode(*change));
    } else {
      peers_.SendTable(Encode(view_.keys));
    }
    sent_table_ = view_.keys;
  });
}

BucketRates Instance::KeyLoad(const std::string& service) {
  BucketRates rates(kBucketCount, 0.0);
  const auto add = [&rates](const std::vector<BucketRate>& buckets) {
    for (const auto& [bucket, rate] : buckets) {
      if (bucket < rates.size()) rates[bucket] += rate;
    }
  };
  auto own = view_.key_load.Busiest(loop_.now(), settings_.max_reported_buckets);
  add(own[service]);
  const std::uint64_t hash = HashOf(service);
  const ReachableTest reachable = peers_.Reachable();
  for (const auto& [address, peer] : peers_.peers()) {
    if (!reachable(peer)) continue;
    for (const auto& [name, buckets] : peer.report.key_load) {
      if (name == hash) add(buckets);
    }
  }
  return rates;
}

double Instance::CapacityOf(const Target& target) const {
  const Duration typical = forwarder_.TypicalLatency(target.entry.service);
  const double latency = typical > Duration{0} ? Seconds(typical) : 0.1;
  const double capacity = target.entry.slots / latency;
  const auto limit = view_.target_limits.RateOf({target.entry.id, target.entry.incarnation});
  return limit ? std::max(kMinCapacity, std::min(*limit, capacity)) : capacity;
}

void Instance::CheckCoordinator() {
  const TimePoint now = loop_.now();
  if (coordinator_.leading() || coordinator_.taking_over() || stopping_) return;
  const Duration own_store_age = now - operators_.verified_at();
  const Duration effective_timeout = peers_.CoordinatorTimeout(settings_.coordinator_timeout);
  bool has_coordinator = false;
  const ReachableTest reachable = peers_.Reachable();
  for (const auto& [address, peer] : peers_.peers()) {
    if (!reachable(peer)) continue;
    const PeerReport& report = peer.report;
    // A coordinator without access to the store is replaced by an instance that has access.
    const bool lost_store =
        report.store_age_ms > kMaxCoordinatorStoreAgeMs && own_store_age < kMaxCandidateStoreAge;
    // Borrowers of tokens detect the loss of the coordinator before its reports time out.
    const bool lost = view_.accounts.TimeWithoutResponse(address, now) >= kLenderTimeout &&
                      now - peer.reported_at >= kLenderTimeout;
    if (report.leading && !report.leaving && !lost_store && !lost &&
        now - peer.last_seen_at <= effective_timeout) {
      has_coordinator = true;
    }
  }
  if (has_coordinator) {
    leaderless_since_ = std::max(leaderless_since_, now);
    return;
  }
  const std::size_t rank = peers_.TakeOverRank();
  if (!reading_table_ && now >= next_table_read_ && rank < kTableReaders) ReadTableFromStore();
  const bool loaded = view_.config && targets_.loaded();
  const Duration startup_quiet_time = kStartupQuietTime + peers_.ReportInterval(false);
  if (!loaded || now - started_at_ < startup_quiet_time) return;
  if (now - leaderless_since_ < TakeOverDelay(rank)) return;
  if (!registry_confirmed_) {
    // Instances that started at the same time may have registered after the first read.
    registry_confirmed_ = true;
    ReadInstances();
    return;
  }
  leaderless_since_ = now + effective_timeout;
  coordinator_.TakeOver();
}

}  // namespace dogwoodport::fleet
