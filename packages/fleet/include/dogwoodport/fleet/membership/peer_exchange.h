#pragma once

/// @file
/// Periodic reports between the instances, as datagrams. Each report is complete in itself, so that
/// a lost one is made good by the next.

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/token_bucket.h"
#include "dogwoodport/fleet/limits/token_loan.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_load.h"
#include "dogwoodport/fleet/requests/quarantine.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::fleet {

/// State of an instance as it tells the others. Names travel as hashes.
struct PeerReport {
  /// Address of the sender's exchange, "ip:port".
  std::string address;
  /// Start of the sender's process: microseconds of Unix time.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  /// Sender's clock in microseconds, which the coordinator uses to date what it passes on.
  std::int64_t sent_at_us = 0;
  std::string data_centre;
  /// Processor share of the sender's machine, in cores.
  float processor_share = 0;
  bool leading = false;
  bool leaving = false;
  /// Time since the sender last reached the store.
  std::uint32_t store_age_ms = 0;
  /// Newest table of owners that the sender knows, and whether it asks for the whole table.
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
  bool wants_table = false;
  /// Sent before its turn, because it holds news that all should hear soon.
  bool urgent = false;
  /// Busiest keys by service; sent to the coordinator only.
  std::vector<std::pair<std::uint64_t, std::vector<BucketRate>>> key_load;
  /// Targets that leave although their heartbeats do not say so yet.
  std::vector<LeavingTarget> leaving_targets;
  QuarantineReport quarantine;

  MSGPACK_DEFINE_ARRAY(address, incarnation, sequence_number, sent_at_us, data_centre,
                       processor_share, leading, leaving, store_age_ms, generation, revision,
                       wants_table, urgent, key_load, leaving_targets, quarantine)
};

/// Requests that an instance has in flight, by hash of the target. Sent more often than reports,
/// because the choice of a target is only as good as it is fresh.
struct PeerLoad {
  std::string address;
  std::uint64_t sequence_number = 0;
  std::vector<std::pair<std::uint32_t, std::uint16_t>> in_flight;

  MSGPACK_DEFINE_ARRAY(address, sequence_number, in_flight)
};

/// An instance in a digest.
struct InstanceSummary {
  std::string address;
  std::string data_centre;
  /// Processor share of its machine, in cores.
  float processor_share = 0;

  MSGPACK_DEFINE_ARRAY(address, data_centre, processor_share)
};

/// What the coordinator knows of all instances. In a large fleet it stands in for the reports of
/// the other instances, which then report to the coordinator only.
struct PeerDigest {
  std::string address;
  std::uint64_t sequence_number = 0;
  /// Instances that the coordinator hears and that are not leaving.
  std::vector<InstanceSummary> instances;
  /// The same as in the reports.
  std::vector<LeavingTarget> leaving_targets;
  /// Instances that pass on what the coordinator sends to their data centres. The instances of a
  /// data centre report to its relays too, so that these can date what they pass on.
  std::vector<std::string> relays;
  QuarantineReport quarantine;

  MSGPACK_DEFINE_ARRAY(address, sequence_number, instances, leaving_targets, relays, quarantine)
};

/// What the coordinator has read from a feed of the store, for one other instance. It spares the
/// others their own reads.
struct FeedPush {
  std::uint8_t feed = 0;
  /// The push holds what matters of the records from `from` up to `end`.
  std::uint64_t from = 0;
  std::uint64_t end = 0;
  /// The feed had no record beyond `end` at this time on the receiver's clock, in microseconds.
  std::int64_t verified_at_us = 0;
  /// The store has returned only just, so that entries of targets that live may be missing.
  bool store_was_unavailable = false;
  std::vector<StoreRecord> records;

  MSGPACK_DEFINE_ARRAY(feed, from, end, verified_at_us, store_was_unavailable, records)
};

/// Another instance.
struct Peer {
  /// Latest report. Data centre and processor share may come from the store or a digest.
  PeerReport report;
  PeerLoad load;
  TimePoint known_since{};
  TimePoint last_seen_at{};
  /// Arrival of its latest own report; digests count for `last_seen_at` only.
  TimePoint reported_at{};
  /// Number of its newest digest, if it is the coordinator.
  std::uint64_t digest_number = 0;
  bool seen = false;
};

/// Times of the exchange.
struct PeerSettings {
  Duration report_interval{250'000};
  Duration load_interval{50'000};
  /// Reports, and loads, that one instance receives per second at most; with more instances the
  /// intervals grow.
  double max_reports_per_s = 60;
  double max_loads_per_s = 200;
  /// Instances up to which all report to each other. In a larger fleet they report to the
  /// coordinator, which sends digests to all, and only loads go to this many of the others.
  std::size_t max_neighbours = 16;
  /// Interval of the reports to the coordinator, and of its digests.
  Duration digest_interval{500'000};
  /// Shortest time between two digests.
  Duration min_digest_interval{100'000};
  /// Reports that the coordinator sends per second at most. Its reports come more often, because
  /// its silence starts a take-over.
  double max_coordinator_reports_per_s = 400;
  /// Instances of each data centre that pass on what the coordinator of a large fleet sends. Two,
  /// so that the loss of one delays nothing.
  std::size_t relays_per_data_centre = 2;
  /// Instances that the others of a large fleet report to while there is no coordinator: those that
  /// take over first.
  std::size_t coordinator_candidates = 8;
  /// Bytes that an instance sends to the others per second at most, so that a burst does not fill
  /// its link, which drops datagrams then.
  double max_bytes_per_s = 1'250'000;
  /// Bytes that may be sent at once after a pause.
  double burst_bytes = 64'000;
  /// Silence of the coordinator, in its intervals, that starts a take-over.
  int coordinator_timeout_intervals = 4;
  /// An instance that has been silent for this long does not count as reachable.
  Duration peer_timeout{1'100'000};
  /// An instance that has been silent for this long is forgotten.
  Duration peer_retention{30'000'000};
  /// The same for one that is known from the store only and may have ended long ago.
  Duration unconfirmed_retention{4'000'000};
};

/// Tells whether an instance counts as reachable at the time at which the test was made.
struct ReachableTest {
  TimePoint now{};
  /// Silence from which on an instance does not count.
  Duration timeout{0};
  Duration coordinator_timeout{0};

  bool operator()(const Peer& peer) const noexcept {
    return peer.seen &&
           now - peer.last_seen_at <= (peer.report.leading ? coordinator_timeout : timeout);
  }
};

/// How an instance presents itself to the others.
struct PeerIdentity {
  /// "ip:port" of the exchange.
  std::string address;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  /// Processor share of its machine, in cores.
  float processor_share = 1;
};

class PeerExchange : public net::Watcher {
 public:
  /// Opens the socket. Throws net::NetError if that fails.
  PeerExchange(net::EventLoop& loop, EventLog& log, PeerSettings settings, PeerIdentity identity);
  ~PeerExchange() override;
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Fills in a report before it is sent. Only the coordinator gets its load of keys.
  std::function<void(PeerReport&)> on_prepare;
  /// A report has arrived.
  std::function<void(const Peer&)> on_report;
  /// Fills in a load before it is sent.
  std::function<void(PeerLoad&)> on_prepare_load;
  /// The load of an instance has arrived; `before` is what it said last.
  std::function<void(const PeerLoad& previous, const PeerLoad& load)> on_load;
  /// A table of owners, or a change of it, has arrived.
  std::function<void(const std::string& bytes)> on_table;
  std::function<void(const std::string& bytes)> on_table_change;
  /// Fills in a digest before it is sent.
  std::function<void(PeerDigest&)> on_prepare_digest;
  /// A digest of the coordinator has arrived.
  std::function<void(const PeerDigest&, const Peer& sender)> on_digest;

  /// A part of a feed has arrived.
  std::function<void(const FeedPush&)> on_feed;
  /// A message about tokens of client accounts has arrived.
  std::function<void(const LoanRequest&)> on_loan_request;
  std::function<void(const LoanGrant&)> on_loan_grant;

  /// Sends a message about tokens at once.
  void SendLoan(const LoanMessage& message);

  /// Sends what was read from a feed to all reachable instances. `verified_at` is dated on each
  /// receiver's clock by its latest report, never later than it was.
  void PushFeed(FeedPush push, TimePoint verified_at);

  /// Adds an instance from the directory of the store, or from a digest.
  void AddPeer(const InstanceSummary& instance);
  /// Sends a report to all that get one instead of waiting for the interval.
  void ReportNow(bool urgent = false);
  /// Sets whether this instance is the coordinator; a new one reports at once.
  void SetLeading(bool leading);
  /// Whether the fleet is so large that the instances report to the coordinator only.
  bool IsLarge() const noexcept { return peers_.size() > settings_.max_neighbours; }
  /// Whether it is, and there is a coordinator.
  bool UsesDigests() const;
  /// Number of the other instances that may be alive and take over from a coordinator before this
  /// one: those with a larger processor share, or the same and a lower address. In a large fleet
  /// only the candidates hear of each other while there is no coordinator, so that an instance that
  /// was present in the latest digest counts. Complexity: linear.
  std::size_t TakeOverRank() const;
  /// Addresses of the relays, if this is the coordinator of a large fleet.
  std::vector<std::string> ChooseRelays() const;
  /// Relays by the latest digest.
  const std::vector<std::string>& relays() const noexcept { return relays_; }
  /// Address of the coordinator that this instance hears, the newest one if there are several;
  /// empty if there is none. Complexity: linear.
  std::string Coordinator() const;
  /// Time between the reports of an instance.
  Duration ReportInterval(bool of_coordinator) const;
  /// Silence of a coordinator that allows others to take over, at least `shortest`.
  Duration CoordinatorTimeout(Duration min_timeout) const;
  /// Sends a digest soon instead of waiting for the interval, if this is the coordinator.
  void ScheduleUrgentDigest();
  /// Sends a table of owners to all, or to one; or a change of it to all.
  void SendTableChange(const std::string& bytes);
  void SendTable(const std::string& bytes);
  void SendTable(const std::string& bytes, const std::string& address);

  /// Instances by address.
  using Peers = std::map<std::string, Peer>;
  const Peers& peers() const noexcept { return peers_; }
  /// Returns the test whether an instance has been heard lately, for a loop over the instances.
  /// Complexity: linear in the instances; constant for the test.
  ReachableTest Reachable() const;
  std::size_t reachable() const;
  /// Whether all instances that were ever known to this one have reported since `since` that they
  /// follow the coordinator of `generation`, or a newer one.
  bool AllFollow(std::uint64_t generation, TimePoint since) const;
  /// Addresses of all other instances, silent ones included, in ascending order.
  std::vector<std::string> KnownAddresses() const;
  const std::string& address() const noexcept { return address_; }
  std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  Duration ScaledInterval(Duration min_interval, double max_per_s) const;
  /// Whom a report goes to.
  enum class Audience { kAll, kCoordinator, kCandidates };
  Audience ReportAudience() const;
  void Report(Audience audience, bool urgent);
  bool RanksAhead(const std::string& address, const Peer& peer) const;
  std::set<std::string> CoordinatorCandidates() const;
  /// Sends to all other instances, in a large fleet through the relays.
  void Broadcast(char kind, const std::string& body);
  void Relay(const std::string& datagram);
  void RelayFeed(FeedPush push);
  /// Sends a part of a feed, dated for each receiver, to those that `receives` chooses.
  template <typename Receives>
  void SendFeed(FeedPush& push, TimePoint verified_at, const Receives& receives);
  /// Whether this instance, as a relay, passes on to another one what the coordinator sends.
  bool RelaysTo(const std::string& address, const Peer& peer) const;
  bool IsRelay(const std::string& address) const {
    return std::find(relays_.begin(), relays_.end(), address) != relays_.end();
  }
  /// Sends queued datagrams as far as the rate allows.
  void SendQueued();
  /// Addresses that get this instance's loads: all, or the next ones of its data centre in the ring
  /// of the addresses. Complexity: linear.
  std::vector<std::string> LoadReceivers() const;
  void ScheduleReport(Duration delay);
  /// Reports at this instance's turn in a short span, so that not all report at once.
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
  /// Addresses of all instances that were ever known, those that were forgotten included.
  std::set<std::string> ever_known_;
  net::TimerId report_timer_;
  net::TimerId load_timer_;
  net::TimerId digest_timer_;
  /// Datagrams that wait for their turn, oldest first. Only what goes to many waits.
  struct Queued {
    std::string address;
    std::shared_ptr<const std::string> datagram;
  };
  std::deque<Queued> queue_;
  net::TimerId queue_timer_;
  /// Bytes that may be sent now.
  TokenBucket send_budget_;
  /// Relays by the latest digest.
  std::vector<std::string> relays_;
  /// Arrival of the latest digest, or the time at which this instance ceased to be the coordinator.
  TimePoint last_digest_at_{};
  TimePoint last_digest_sent_at_{};
  std::uint64_t digest_number_ = 0;
  std::uint64_t report_number_ = 0;
  std::uint64_t load_number_ = 0;
  /// The load that was sent last was empty, so that another empty one says nothing new.
  bool load_was_empty_ = false;
  bool leading_ = false;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace dogwoodport::fleet
