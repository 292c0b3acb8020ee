#pragma once

/// @file
/// One instance: brings the event loop, the feeds, the other instances, the coordinator and the
/// data path together.

#include <csignal>
#include <memory>
#include <string>

#include "dogwoodport/fleet/json_lines_log.h"
#include "dogwoodport/fleet/membership/peer_exchange.h"
#include "dogwoodport/fleet/ownership/key_coordinator.h"
#include "dogwoodport/fleet/requests/forwarder.h"
#include "dogwoodport/fleet/state/feed_reader.h"
#include "dogwoodport/net/http_caller.h"

namespace dogwoodport::fleet {

struct InstanceSettings {
  std::string data_centre;
  /// "ip:port".
  std::string caller_address;
  std::string readiness_address;
  std::string peer_address;
  std::string metrics_address;
  /// Microseconds of Unix time.
  std::uint64_t incarnation = 0;
  /// Part of a core that the process may use; the best equipped instances lead first.
  double processor_share = 1;
  /// Memory that the process may use. A part of it bounds the bodies of requests, and of answers.
  std::size_t memory_bytes = 160'000'000;
  /// Connections from callers.
  std::size_t caller_connections = 3'000;
  RetryBound retry_bound;
  AccountTolerance account_tolerance;
  /// Bounds of the requests that a cold target gets in a second.
  double cold_factor = 1.5;
  double cold_extra = 5;
  /// Time for which the process goes on after the order to stop.
  Duration shutdown_grace{6'000'000};
  /// Wait of the long poll for configurations. It also bounds their age.
  Duration operators_long_poll_wait{1'000'000};
  /// Pause between reads of the targets' heartbeats.
  Duration targets_read_pause{600'000};
  /// Silence of the coordinator after which an instance reads the feeds itself.
  Duration operators_push_timeout{1'500'000};
  Duration targets_push_timeout{1'400'000};
  /// Time after the store's return in which targets that live write their entries again.
  Duration entry_restore_time{2'200'000};
  /// Silence of the coordinator after which another instance takes over.
  Duration coordinator_timeout{1'300'000};
  /// Busiest buckets of keys that an instance reports to the coordinator.
  std::size_t reported_buckets = 64;
  ForwarderSettings forwarder;
  CoordinatorSettings coordinator;
  PeerSettings peers;
};

class Instance {
 public:
  /// Opens all sockets. Throws net::NetError if that fails.
  Instance(net::EventLoop& loop, InstanceSettings settings, MetadataStore& store,
           const TargetProtocol& protocol, JsonLinesLog& log);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Runs until `Stop` has been called and the requests have ended.
  void Run();

  /// Brings new bounds into force; addresses stay as they are.
  void Reconfigure(const InstanceSettings& settings);

  /// Begins the shutdown; may be called from a signal handler through `stop_requested`.
  void Stop();

  /// Flag that a signal handler sets to stop the instance.
  volatile std::sig_atomic_t* stop_flag() noexcept { return &stop_requested_; }

 private:
  void OnOperatorRecords(const std::vector<StoreRecord>& records, bool complete);
  void ApplyConfig(const RoutingConfigPtr& config);
  void SetWithdrawn(std::set<std::string> withdrawn);
  void OnTargetRecords(const std::vector<StoreRecord>& records, bool complete,
                       bool was_unavailable);
  /// Returns whether the record changed anything.
  bool ApplyTarget(const StoreRecord& record, bool was_unavailable);
  void OnTargetChange(const std::string& id, TargetChange change);
  void PushFeed(Feed feed, std::uint64_t from, std::uint64_t end, bool complete);
  void OnFeedPush(const FeedPush& push);
  void ForgetTarget(const std::string& id);
  /// Takes note of targets that leave by the word of another instance.
  void MarkLeaving(const std::vector<LeavingTarget>& targets);

  void Register();
  void ReadInstances();

  void PrepareReport(PeerReport& report);
  void PrepareDigest(PeerDigest& digest);
  void OnDigest(const PeerDigest& digest);
  /// Reports what all should hear soon before its turn.
  void SendUrgentUpdates();
  /// Brings the role of this instance, and whom it borrows tokens from, up to date.
  void UpdateLending();
  /// Sends what is due about tokens, and admits the requests that have got one.
  void ExchangeTokens();
  /// Whether no loan of a coordinator before the one of `generation` can be valid any more.
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
  BucketRates KeyLoad(const std::string& service);
  double CapacityOf(const Target& target) const;

  void Tick();
  void CheckCoordinator();
  /// Logs what entered and left the quarantine, so that the others hear it soon.
  void LogQuarantine();
  /// Forgets what is too old. The coordinator also keeps the store's record of the quarantine,
  /// which outlives the instances.
  void MaintainQuarantine();
  void ReadQuarantine();
  void RecordQuarantine(Fingerprint fingerprint, bool quarantined);
  void RefreshColdShares();
  void RunMaintenance();
  void LogStatus();
  /// Logs what became of the requests of the busiest accounts.
  void LogAccounts();
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
  PeerExchange peers_;
  KeyCoordinator coordinator_;
  FeedReader operators_;
  FeedReader targets_;
  /// Ids of the targets by their hash in the loads.
  std::unordered_map<std::uint32_t, std::string> target_names_;
  /// Records read lately that change something, by feed; they are passed on twice, as a datagram
  /// may be lost.
  std::map<Feed, std::vector<StoreRecord>> recent_changes_;
  std::map<Feed, std::uint64_t> last_push_from_;
  /// A target has said that it leaves, or a request entered or left the quarantine, since the last
  /// report.
  bool urgent_update_pending_ = false;
  /// Requests that the store has in quarantine, as far as the coordinator knows.
  std::set<Fingerprint> recorded_quarantine_;
  bool quarantine_read_ = false;
  bool registered_ = false;
  /// The addresses of all instances have been read from the store since the start.
  bool registry_read_ = false;
  /// They have been read again before the first take-over.
  bool registry_confirmed_ = false;
  TimePoint started_at_;
  TimePoint leaderless_since_;
  TimePoint next_share_refresh_{};
  TimePoint next_maintenance_{};
  TimePoint next_registry_read_{};
  TimePoint next_table_read_{};
  bool reading_table_ = false;
  /// A change of the table did not fit the one that this instance has.
  bool wants_table_ = false;
  /// The table as it was sent last, and those instances whose reports showed an older one.
  KeyTable sent_table_;
  /// Generation of the coordinator that this instance follows, and since when.
  std::uint64_t followed_generation_ = 0;
  TimePoint followed_since_{};
  /// Generation in which this instance began to lend tokens.
  std::uint64_t lending_generation_ = 0;
  std::map<std::string, std::uint64_t> outdated_peers_;
  net::TimerId table_timer_;
  net::TimerId settle_timer_;
  volatile std::sig_atomic_t stop_requested_ = 0;
  TimePoint stopping_at_{};
  /// Latest time at which a caller's connection was open during the shutdown.
  TimePoint last_open_at_{};
  bool stopping_ = false;
};

}  // namespace dogwoodport::fleet
