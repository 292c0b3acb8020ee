#pragma once

/// @file
/// Periodic reports between instances, sent as datagrams. Each report is self-contained, so the
/// next report compensates for a lost one.

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/target_limits.h"
#include "dogwoodport/fleet/limits/token_bucket.h"
#include "dogwoodport/fleet/limits/token_loan.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_load.h"
#include "dogwoodport/fleet/requests/quarantine.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::fleet {

/// State that an instance reports to its peers. Services are identified by the hashes of their
/// names.
struct PeerReport {
  /// Address of the sender's exchange, "ip:port".
  std::string address;
  /// Start time of the sender's process, in microseconds of Unix time.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  /// Sender's clock in microseconds. The coordinator and the relays use it to convert the
  /// timestamps of forwarded feeds to the sender's clock.
  std::int64_t sent_at_us = 0;
  std::string data_centre;
  /// Processor share of the sender's machine, in cores.
  float processor_share = 0;
  bool leading = false;
  bool leaving = false;
  /// Age of the sender's latest verified data from the operators' feed, read by itself or pushed by
  /// the coordinator.
  std::uint32_t store_age_ms = 0;
  /// Version of the newest ownership table that the sender has, and whether it requests the whole
  /// table.
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
  bool wants_table = false;
  /// Sent ahead of schedule, because it contains an update that all instances need soon.
  bool urgent = false;
  /// Busiest keys by service. Sent to the coordinator only.
  std::vector<std::pair<std::uint64_t, std::vector<BucketRate>>> key_load;
  /// Targets that are leaving although their heartbeats do not report it yet.
  std::vector<TargetIncarnation> leaving_targets;
  QuarantineReport quarantine;
  std::vector<TargetLimitReport> target_limits;
  /// Age of the sender's latest verified data from the targets' feed.
  std::uint32_t targets_age_ms = std::numeric_limits<std::uint32_t>::max();

  MSGPACK_DEFINE_ARRAY(address, incarnation, sequence_number, sent_at_us, data_centre,
                       processor_share, leading, leaving, store_age_ms, generation, revision,
                       wants_table, urgent, key_load, leaving_targets, quarantine, target_limits,
                       targets_age_ms)
};

/// Number of requests that an instance has in flight, by hash of the target. Sent more often than
/// reports, because target selection needs current values.
struct PeerLoad {
  std::string address;
  std::uint64_t sequence_number = 0;
  std::vector<std::pair<std::uint32_t, std::uint16_t>> in_flight;

  MSGPACK_DEFINE_ARRAY(address, sequence_number, in_flight)
};

/// An instance as described in a digest.
struct InstanceSummary {
  std::string address;
  std::string data_centre;
  /// Processor share of the instance's machine, in cores.
  float processor_share = 0;

  MSGPACK_DEFINE_ARRAY(address, data_centre, processor_share)
};

/// State of all instances, as collected by the coordinator. In a large fleet, instances report to
/// the coordinator only, and its digests replace the reports of the other instances.
struct PeerDigest {
  std::string address;
  std::uint64_t sequence_number = 0;
  /// Instances that are reachable from the coordinator and not leaving.
  std::vector<InstanceSummary> instances;
  /// Same content as in PeerReport.
  std::vector<TargetIncarnation> leaving_targets;
  /// Instances that forward the coordinator's messages within their data centres. The instances of
  /// a data centre also report to its relays, so that the relays can convert timestamps.
  std::vector<std::string> relays;
  QuarantineReport quarantine;
  std::vector<TargetLimitReport> target_limits;

  MSGPACK_DEFINE_ARRAY(address, sequence_number, instances, leaving_targets, relays, quarantine,
                       target_limits)
};

/// Records that the coordinator has read from a feed of the store, addressed to one other instance.
/// They save the receiver from reading the store itself.
struct FeedPush {
  std::uint8_t feed = 0;
  /// The push contains all relevant records from offset `from` up to `end`.
  std::uint64_t from = 0;
  std::uint64_t end = 0;
  /// Time, on the receiver's clock in microseconds, at which the feed had no record beyond `end`.
  std::int64_t verified_at_us = 0;
  /// The store has become available only recently, as observed by the coordinator. Receivers of
  /// earlier versions keep removed targets for some time then; others judge by all contacts.
  bool store_was_unavailable = false;
  std::vector<StoreRecord> records;

  MSGPACK_DEFINE_ARRAY(feed, from, end, verified_at_us, store_was_unavailable, records)
};

/// State of another instance.
struct Peer {
  /// Latest report. Data centre and processor share may also come from the store or a digest.
  PeerReport report;
  PeerLoad load;
  TimePoint known_since{};
  TimePoint last_seen_at{};
  /// Arrival time of the latest report from the instance itself. Digests update `last_seen_at`
  /// only.
  TimePoint reported_at{};
  /// Sequence number of its newest digest, if it is the coordinator.
  std::uint64_t digest_number = 0;
  bool seen = false;
};

/// Intervals and limits of the exchange.
struct PeerSettings {
  Duration report_interval{250'000};
  Duration load_interval{50'000};
  /// Maximum number of reports and of loads that one instance receives per second. The intervals
  /// grow with the number of instances.
  double max_reports_per_s = 60;
  double max_loads_per_s = 200;
  /// Maximum number of peers with which all instances report to each other. In a larger fleet,
  /// instances report to the coordinator, which sends digests to all of them, and loads go to at
  /// most this many peers.
  std::size_t max_neighbours = 16;
  /// Interval of reports to the coordinator, and of its digests.
  Duration digest_interval{500'000};
  /// Minimum time between two digests.
  Duration min_digest_interval{100'000};
  /// Maximum number of reports that the coordinator sends per second. The limit is higher than for
  /// other instances, because missing reports of the coordinator trigger a take-over.
  double max_coordinator_reports_per_s = 400;
  /// Number of instances per data centre that forward the messages of the coordinator in a large
  /// fleet. With two, the loss of one causes no delay.
  std::size_t relays_per_data_centre = 2;
  /// Number of instances that receive reports in a large fleet without a coordinator. These are the
  /// first in line to take over.
  std::size_t coordinator_candidates = 8;
  /// Maximum number of bytes per second of queued datagrams. Bursts beyond it could fill the link,
  /// which would then drop datagrams.
  double max_bytes_per_s = 1'250'000;
  /// Maximum number of bytes of queued datagrams sent at once after an idle period.
  double burst_bytes = 64'000;
  /// Number of report intervals of the coordinator without a report after which a take-over starts.
  int coordinator_timeout_intervals = 4;
  /// Time without reports after which an instance is considered unreachable.
  Duration peer_timeout{1'100'000};
  /// Time without reports after which an instance is removed.
  Duration peer_retention{30'000'000};
  /// Retention of an instance that is listed in the store but has never reported. It may have ended
  /// long ago.
  Duration unconfirmed_retention{4'000'000};
};

/// Predicate that tells whether an instance is reachable, evaluated at the time of its creation.
struct ReachableTest {
  TimePoint now{};
  /// Maximum time since a reachable instance was last seen.
  Duration timeout{0};
  Duration coordinator_timeout{0};

  bool operator()(const Peer& peer) const noexcept {
    return peer.seen &&
           now - peer.last_seen_at <= (peer.report.leading ? coordinator_timeout : timeout);
  }
};

/// Identity under which an instance reports to its peers.
struct PeerIdentity {
  /// Address of the exchange, "ip:port".
  std::string address;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  /// Processor share of the instance's machine, in cores.
  float processor_share = 1;
};

class PeerExchange : public net::Watcher {
 public:
  /// Opens the socket. Throws net::NetError on failure.
  PeerExchange(net::EventLoop& loop, EventLog& log, PeerSettings settings, PeerIdentity identity);
  ~PeerExchange() override;
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Completes a report before it is sent. The key load goes to the coordinator only.
  std::function<void(PeerReport&)> on_prepare;
  /// Called when a report has arrived.
  std::function<void(const Peer&)> on_report;
  /// Completes a load before it is sent.
  std::function<void(PeerLoad&)> on_prepare_load;
  /// Called when the load of an instance has arrived. `previous` is the last load it sent.
  std::function<void(const PeerLoad& previous, const PeerLoad& load)> on_load;
  /// Called when an ownership table, or a change to it, has arrived.
  std::function<void(const std::string& bytes)> on_table;
  std::function<void(const std::string& bytes)> on_table_change;
  /// Completes a digest before it is sent.
  std::function<void(PeerDigest&)> on_prepare_digest;
  /// Called when a digest of the coordinator has arrived.
  std::function<void(const PeerDigest&, const Peer& sender)> on_digest;

  /// Called when a part of a feed has arrived.
  std::function<void(const FeedPush&)> on_feed;
  /// Called when a message about the tokens of client accounts has arrived.
  std::function<void(const LoanRequest&)> on_loan_request;
  std::function<void(const LoanGrant&)> on_loan_grant;

  /// Sends a message about tokens immediately.
  void SendLoan(const LoanMessage& message);

  /// Sends records of a feed to all reachable instances. Converts `verified_at` to the clock of
  /// each receiver by means of its latest report. The converted time is never later than the actual
  /// one.
  void PushFeed(FeedPush push, TimePoint verified_at);

  /// Adds an instance that is listed in the store or in a digest.
  void AddPeer(const InstanceSummary& instance);
  /// Sends a report immediately, to all instances that currently receive reports.
  void ReportNow(bool urgent = false);
  /// Sets whether this instance is the coordinator. Reports the new role immediately.
  void SetLeading(bool leading);
  /// Whether the fleet is so large that instances report to the coordinator only.
  bool IsLarge() const noexcept { return peers_.size() > settings_.max_neighbours; }
  /// Whether the fleet is large and has a coordinator.
  bool UsesDigests() const;
  /// Returns the number of peers that may be alive and precede this instance in a take-over. These
  /// have a larger processor share, or the same share and a lower address. In a large fleet without
  /// a coordinator, only the candidates receive reports, so an instance that was present in the
  /// latest digest is counted as alive. Complexity: linear.
  std::size_t TakeOverRank() const;
  /// Returns the addresses of the relays, if this instance is the coordinator of a large fleet.
  std::vector<std::string> ChooseRelays() const;
  /// Relays listed in the latest digest.
  const std::vector<std::string>& relays() const noexcept { return relays_; }
  /// Returns the address of the reachable coordinator with the newest generation, or an empty
  /// string if there is none. Complexity: linear.
  std::string Coordinator() const;
  /// Returns the time between two reports of an instance.
  Duration ReportInterval(bool of_coordinator) const;
  /// Returns the time without reports of the coordinator after which others may take over, at least
  /// `min_timeout`.
  Duration CoordinatorTimeout(Duration min_timeout) const;
  /// Sends a digest as soon as `min_digest_interval` allows, if this instance is the coordinator.
  void ScheduleUrgentDigest();
  /// Sends an ownership table to all instances or to one of them, or a change to it to all.
  void SendTableChange(const std::string& bytes);
  void SendTable(const std::string& bytes);
  void SendTable(const std::string& bytes, const std::string& address);

  /// Instances by address.
  using Peers = std::map<std::string, Peer>;
  const Peers& peers() const noexcept { return peers_; }
  /// Returns a predicate that tells whether an instance is reachable, for use in a loop over the
  /// instances. Complexity: linear in the instances; constant for each call of the predicate.
  ReachableTest Reachable() const;
  std::size_t reachable() const;
  /// Whether the instances at these addresses have reported, after `since`, that they follow the
  /// coordinator of `generation` or of a newer one.
  bool Follow(const std::vector<std::string>& addresses, std::uint64_t generation,
              TimePoint since) const;
  /// The same for every instance that was ever known.
  bool AllFollow(std::uint64_t generation, TimePoint since) const;
  /// Returns the addresses of all other instances in ascending order, including unreachable ones.
  std::vector<std::string> KnownAddresses() const;
  const std::string& address() const noexcept { return address_; }
  std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  Duration ScaledInterval(Duration min_interval, double max_per_s) const;
  /// Recipients of a report.
  enum class Audience { kAll, kCoordinator, kCandidates };
  Audience ReportAudience() const;
  void Report(Audience audience, bool urgent);
  bool RanksAhead(const std::string& address, const Peer& peer) const;
  std::set<std::string> CoordinatorCandidates() const;
  /// Sends a message to all other instances, through the relays in a large fleet.
  void Broadcast(char kind, const std::string& body);
  void Relay(const std::string& datagram);
  void RelayFeed(FeedPush push);
  /// Sends a part of a feed to the instances selected by `receives`, with the timestamp converted
  /// for each of them.
  template <typename Receives>
  void SendFeed(FeedPush& push, TimePoint verified_at, const Receives& receives);
  /// Whether this instance, as a relay, forwards the coordinator's messages to the given peer.
  bool RelaysTo(const std::string& address, const Peer& peer) const;
  bool IsRelay(const std::string& address) const {
    return std::find(relays_.begin(), relays_.end(), address) != relays_.end();
  }
  /// Sends queued datagrams within the limit of `max_bytes_per_s`.
  void SendQueued();
  /// Returns the addresses that receive the loads of this instance: all instances of a small fleet,
  /// otherwise the successors in its data centre, in a ring ordered by address. Complexity: linear.
  std::vector<std::string> LoadReceivers() const;
  void ScheduleReport(Duration delay);
  /// Sends a report after a short delay that depends on the address, so that instances do not all
  /// report at the same time.
  void ReportSoon();
  void ScheduleLoad();
  void ScheduleDigest(Duration delay);
  void SendDigest();
  void ReceiveDigest(const PeerDigest& digest);
  void SendLoad();
  void ReceiveLoad(PeerLoad load);
  void Receive(const char* data, std::size_t size);
  void ReceiveReport(PeerReport report);
  void SendTo(const std::string& address, char kind, const std::string& body);
  void SendDatagram(const std::string& address, const std::string& datagram);
  void ForgetExpiredPeers();

  net::EventLoop& loop_;
  EventLog& log_;
  PeerSettings settings_;
  std::string address_;
  std::string data_centre_;
  std::uint64_t incarnation_;
  float processor_share_;
  Poco::Net::DatagramSocket socket_;
  Peers peers_;
  /// Addresses of all instances that were ever known, including removed ones.
  std::set<std::string> ever_known_;
  net::TimerId report_timer_;
  net::TimerId load_timer_;
  net::TimerId digest_timer_;
  /// Datagrams waiting to be sent, oldest first. Only digests, ownership tables and changes to
  /// these tables are queued.
  struct Queued {
    std::string address;
    std::shared_ptr<const std::string> datagram;
  };
  std::deque<Queued> queue_;
  net::TimerId queue_timer_;
  /// Bytes of queued datagrams that may currently be sent.
  TokenBucket send_budget_;
  /// Relays listed in the latest digest.
  std::vector<std::string> relays_;
  /// Arrival time of the latest digest, or the time at which this instance became or ceased to be
  /// the coordinator.
  TimePoint last_digest_at_{};
  TimePoint last_digest_sent_at_{};
  std::uint64_t digest_number_ = 0;
  std::uint64_t report_number_ = 0;
  std::uint64_t load_number_ = 0;
  /// The last load sent was empty, so another empty one can be skipped.
  bool load_was_empty_ = false;
  bool leading_ = false;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace dogwoodport::fleet
