#pragma once

/// @file
/// One instance of the router. Connects the event loop, the feeds, the other instances, the
/// coordinator and the data path.

#include <csignal>
#include <memory>
#include <string>

#include "dogwoodport/fleet/json_lines_log.h"
#include "dogwoodport/fleet/membership/peer_exchange.h"
#include "dogwoodport/fleet/ownership/key_coordinator.h"
#include "dogwoodport/fleet/requests/forwarder.h"
#include "dogwoodport/fleet/state/feed_reader.h"
#include "dogwoodport/fleet/state/store_contacts.h"
#include "dogwoodport/net/http_caller.h"

namespace dogwoodport::fleet {

struct InstanceSettings {
  std::string data_centre;
  /// "ip:port".
  std::string caller_address;
  std::string readiness_address;
  std::string peer_address;
  std::string metrics_address;
  /// Start time of the process in microseconds of Unix time.
  std::uint64_t incarnation = 0;
  /// CPU share of the process, in cores. Instances with the largest share take over as coordinator
  /// first.
  double processor_share = 1;
  /// Memory limit of the process. Fixed fractions of it limit the total size of the request bodies
  /// and of the response bodies in memory.
  std::size_t memory_bytes = 160'000'000;
  /// Maximum number of connections from callers.
  std::size_t max_caller_connections = 3'000;
  RetryBound retry_bound;
  RateTolerance account_tolerance;
  /// Limit on the requests per second to a cold target from all instances together: `cold_factor`
  /// times its cold rate, plus `cold_extra`.
  double cold_factor = 1.5;
  double cold_extra = 5;
  /// Maximum time between the stop signal and the end of the process.
  Duration shutdown_grace{6'000'000};
  /// Timeout of the long poll for operator records. It also limits the age of the configuration.
  Duration operators_long_poll_wait{1'000'000};
  /// Pause between reads of the targets' heartbeats.
  Duration targets_read_pause{600'000};
  /// Time without pushes from the coordinator after which an instance reads the feeds itself.
  Duration operators_push_timeout{1'500'000};
  Duration targets_push_timeout{1'400'000};
  /// Time without contact of any instance from which on the store counts as unavailable. Longer
  /// than `targets_push_timeout`, after which instances contact it themselves.
  Duration min_store_outage{1'600'000};
  /// Time after an outage of the store in which live targets write their entries again.
  Duration entry_restore_time{2'200'000};
  /// Minimum time without reports from the coordinator after which another instance takes over.
  Duration coordinator_timeout{1'300'000};
  /// Maximum number of busy key buckets in a report to the coordinator.
  std::size_t max_reported_buckets = 64;
  ForwarderSettings forwarder;
  CoordinatorSettings coordinator;
  PeerSettings peers;
};

class Instance {
 public:
  /// Opens all sockets. Throws net::NetError on failure.
  Instance(net::EventLoop& loop, InstanceSettings settings, MetadataStore& store,
           const TargetProtocol& protocol, JsonLinesLog& log);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Runs until `Stop` has been called and the open requests have ended.
  void Run();

  /// Applies new limits. Addresses cannot be changed.
  void Reconfigure(const InstanceSettings& settings);

  /// Begins the shutdown. A signal handler triggers it by setting the flag returned by `stop_flag`.
  void Stop();

  /// Flag that a signal handler sets to stop the instance.
  volatile std::sig_atomic_t* stop_flag() noexcept { return &stop_requested_; }

 private:
  void OnOperatorRecords(const FeedUpdate& update);
  void ApplyConfig(const RoutingConfigPtr& config);
  void SetWithdrawn(std::set<std::string> withdrawn);
  void OnTargetRecords(const FeedUpdate& update);
  /// Returns whether the record may be news to the other instances.
  bool ApplyTarget(const StoreRecord& record, const FeedUpdate& update);
  /// Logs a change, with `details` about its origin, and updates the state that depends on it.
  void OnTargetChange(const std::string& id, TargetChange change, const nlohmann::json& details);
  /// Removes the targets whose entries are still missing some time after an outage, or were removed
  /// although there was none.
  void RemoveDoubtfulTargets();
  void PushFeed(Feed feed, std::uint64_t from, std::uint64_t end, bool complete);
  void OnFeedPush(const FeedPush& push);
  void ForgetTarget(const std::string& id);
  /// Marks targets as leaving that another instance has reported.
  void MarkLeaving(const std::vector<TargetIncarnation>& targets);

  void Register();
  void ReadInstances();

  void PrepareReport(PeerReport& report);
  void PrepareDigest(PeerDigest& digest);
  void OnDigest(const PeerDigest& digest);
  /// Sends pending urgent updates ahead of the next regular report.
  void SendUrgentUpdates();
  /// Updates the role of this instance in token lending, and the instances from which it borrows.
  void UpdateLending();
  /// Sends pending messages about tokens, and schedules the next exchange if a settlement is due
  /// soon.
  void ExchangeTokens();
  /// Whether all loans by coordinators of earlier generations than `generation` have expired.
  bool EarlierLoansEnded(std::uint64_t generation) const;
  void PrepareLoad(PeerLoad& load);
  void OnLoad(const PeerLoad& previous, const PeerLoad& load);
  void OnReport(const Peer& peer);
  void OnTable(const std::string& bytes);
  void OnTableChange(const std::string& bytes);
  void AdoptTable(KeyTable table, const char* source);
  void ReadTableFromStore();
  void PublishTable(const KeyTable& table);
  CoordinatorPorts MakePorts();
  /// Sends a grant or a release.
  void CallTarget(const std::string& address, net::HttpRequest request, Duration timeout,
                  net::CallConnection connection, net::HttpCaller::Callback done);
  BucketRates KeyLoad(const std::string& service);
  double CapacityOf(const Target& target) const;

  void Tick();
  void CheckCoordinator();
  /// Logs quarantine changes and schedules an urgent update for the other instances.
  void LogQuarantine();
  /// Removes expired entries. The coordinator also maintains the quarantine record in the store,
  /// which outlives the instances.
  void MaintainQuarantine();
  void ReadQuarantine();
  void RecordQuarantine(Fingerprint fingerprint, bool quarantined);
  void RefreshColdShares();
  void RunMaintenance();
  void LogStatus();
  /// Logs the token usage of the busiest accounts.
  void LogAccounts();
  /// Logs changes of the limits that targets name.
  void LogTargetLimitChanges();
  /// Logs the requests sent to targets with a limit.
  void LogTargetLimitUsage();
  void CheckShutdown();
  bool Ready() const;
  net::HttpResponse MakeReadinessResponse() const;
  std::string Metrics() const;

  net::EventLoop& loop_;
  InstanceSettings settings_;
  MetadataStore& store_;
  const TargetProtocol& protocol_;
  JsonLinesLog& log_;
  FleetView view_;
  Forwarder forwarder_;
  net::HttpServer callers_;
  net::HttpServer readiness_;
  net::HttpServer metrics_;
  net::HttpCaller caller_;
  std::uint64_t calls_to_targets_ = 0;
  PeerExchange peers_;
  KeyCoordinator coordinator_;
  /// Contacts of all instances with the targets' feed.
  StoreContacts target_contacts_;
  FeedReader operators_;
  FeedReader targets_;
  /// Target ids by the hashes used in load messages.
  std::unordered_map<std::uint32_t, std::string> target_names_;
  /// Recently read records that caused a change, by feed. Each is pushed twice, because a datagram
  /// may be lost.
  std::map<Feed, std::vector<StoreRecord>> recent_changes_;
  std::map<Feed, std::uint64_t> last_push_from_;
  /// Whether a target has announced that it is leaving, or the quarantine has changed, since the
  /// last report.
  bool urgent_update_pending_ = false;
  /// Requests recorded as quarantined in the store, according to the coordinator's own reads and
  /// writes.
  std::set<Fingerprint> recorded_quarantine_;
  bool quarantine_read_ = false;
  bool registered_ = false;
  /// Whether the addresses of all instances have been read from the store since the start.
  bool registry_read_ = false;
  /// Whether they have been read again before the first attempt to take over.
  bool registry_confirmed_ = false;
  TimePoint started_at_;
  TimePoint leaderless_since_;
  TimePoint next_share_refresh_{};
  TimePoint next_maintenance_{};
  TimePoint next_registry_read_{};
  TimePoint next_table_read_{};
  bool reading_table_ = false;
  /// Whether a change could not be applied to the current ownership table, so that the whole table
  /// is needed.
  bool wants_table_ = false;
  /// Ownership table as last sent.
  KeyTable sent_table_;
  /// Generation of the coordinator that this instance follows, and the time since which it does.
  std::uint64_t followed_generation_ = 0;
  TimePoint followed_since_{};
  /// Generation in which this instance started to lend tokens.
  std::uint64_t lending_generation_ = 0;
  /// Instances whose latest report showed an older table, with the revision that was current then.
  std::map<std::string, std::uint64_t> outdated_peers_;
  net::TimerId table_timer_;
  net::TimerId settle_timer_;
  volatile std::sig_atomic_t stop_requested_ = 0;
  TimePoint stopping_at_{};
  /// Latest time during the shutdown at which a connection or request of a caller was open or
  /// draining had not begun.
  TimePoint last_open_at_{};
  bool stopping_ = false;
};

}  // namespace dogwoodport::fleet
