// Digests and broadcasts of the coordinator of a large fleet, their forwarding by relays, and the
// order of take-over.

#include <algorithm>
#include <utility>

#include "dogwoodport/fleet/detail/packing.h"
#include "dogwoodport/fleet/membership/peer_exchange.h"
#include "peer_datagrams.h"

namespace dogwoodport::fleet {
namespace {

using detail::Pack;

/// Interval at which queued datagrams are sent.
constexpr Duration kQueueInterval{2'000};
/// Maximum number of queued datagrams. The oldest are dropped beyond it, because newer ones
/// supersede them.
constexpr std::size_t kMaxQueuedDatagrams = 4'000;
/// An instance counts as alive at the time of the latest digest if it was last seen at most this
/// long before.
constexpr Duration kDigestPresenceWindow{1'500'000};
/// Time for which a newly discovered instance counts as alive before its first report.
constexpr Duration kNewPeerGracePeriod{5'000'000};

/// Order in which instances take over and are chosen as relays: largest processor share first, then
/// by address.
using Rank = std::pair<float, std::string>;

Rank RankOf(const std::string& address, float processor_share) {
  return {-processor_share, address};
}

/// Returns the addresses of the first `n` instances, or of all instances if there are fewer.
std::vector<std::string> FirstOf(std::vector<Rank> ranked, std::size_t n) {
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> result;
  for (std::size_t i = 0; i < ranked.size() && i < n; ++i) {
    result.push_back(std::move(ranked[i].second));
  }
  return result;
}

}  // namespace

void PeerExchange::ScheduleDigest(Duration delay) {
  loop_.Cancel(digest_timer_);
  digest_timer_ = loop_.RunAfter(delay, [this] {
    SendDigest();
    ScheduleDigest(settings_.digest_interval);
  });
}

void PeerExchange::ScheduleUrgentDigest() {
  if (!leading_ || !UsesDigests()) return;
  const TimePoint due = last_digest_sent_at_ + settings_.min_digest_interval;
  ScheduleDigest(std::max(Duration{0}, due - loop_.now()));
}

void PeerExchange::SendDigest() {
  if (!UsesDigests()) return;
  last_digest_sent_at_ = loop_.now();
  PeerDigest digest;
  digest.address = address_;
  digest.sequence_number = incarnation_ + ++digest_number_;
  const ReachableTest reachable = Reachable();
  for (const auto& [address, peer] : peers_) {
    if (!reachable(peer) || peer.report.leaving) continue;
    digest.instances.push_back({address, peer.report.data_centre, peer.report.processor_share});
  }
  digest.relays = ChooseRelays();
  relays_ = digest.relays;
  if (on_prepare_digest) on_prepare_digest(digest);
  Broadcast(kDigestKind, Pack(digest));
}

std::vector<std::string> PeerExchange::ChooseRelays() const {
  const ReachableTest reachable = Reachable();
  std::map<std::string, std::vector<Rank>> by_data_centre;
  for (const auto& [address, peer] : peers_) {
    if (!reachable(peer) || peer.report.leaving) continue;
    by_data_centre[peer.report.data_centre].push_back(RankOf(address, peer.report.processor_share));
  }
  std::vector<std::string> result;
  for (auto& [data_centre, members] : by_data_centre) {
    for (std::string& it : FirstOf(std::move(members), settings_.relays_per_data_centre)) {
      result.push_back(std::move(it));
    }
  }
  return result;
}

void PeerExchange::ReceiveDigest(const PeerDigest& digest) {
  const auto sender = peers_.find(digest.address);
  if (sender == peers_.end() || !sender->second.report.leading) return;
  if (digest.sequence_number <= sender->second.digest_number) return;
  sender->second.digest_number = digest.sequence_number;
  last_digest_at_ = loop_.now();
  const bool new_relays = relays_ != digest.relays;
  relays_ = digest.relays;
  // An instance that has stepped down may have reported it to the new coordinator only.
  const std::uint64_t generation = sender->second.report.generation;
  for (auto& [address, peer] : peers_) {
    if (peer.report.generation < generation) peer.report.leading = false;
  }
  for (const InstanceSummary& it : digest.instances) {
    if (it.address == address_) continue;
    AddPeer(it);
    Peer& peer = peers_[it.address];
    peer.seen = true;
    peer.last_seen_at = loop_.now();
  }
  if (on_digest) on_digest(digest, sender->second);
  if (new_relays) ReportSoon();  // Relays need reports to convert the timestamps of feeds.
}

bool PeerExchange::RanksAhead(const std::string& address, const Peer& peer) const {
  return RankOf(address, peer.report.processor_share) < RankOf(address_, processor_share_);
}

std::size_t PeerExchange::TakeOverRank() const {
  const TimePoint now = loop_.now();
  const ReachableTest reachable = Reachable();
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
    const Peer& peer = it.second;
    if (peer.report.leaving || !RanksAhead(it.first, peer)) return false;
    if (!IsLarge()) return reachable(peer);
    return peer.seen ? peer.last_seen_at >= last_digest_at_ - kDigestPresenceWindow
                     : now - peer.known_since < kNewPeerGracePeriod;
  }));
}

std::set<std::string> PeerExchange::CoordinatorCandidates() const {
  std::vector<Rank> ranked;
  for (const auto& [address, peer] : peers_) {
    if (!peer.report.leaving) ranked.push_back(RankOf(address, peer.report.processor_share));
  }
  const std::vector<std::string> first =
      FirstOf(std::move(ranked), settings_.coordinator_candidates);
  return {first.begin(), first.end()};
}

template <typename Receives>
void PeerExchange::SendFeed(FeedPush& push, TimePoint verified_at, const Receives& receives) {
  const ReachableTest reachable = Reachable();
  const bool relayed = leading_ && UsesDigests();
  for (const auto& [address, peer] : peers_) {
    if (!receives(address, peer) || !reachable(peer) || peer.reported_at == TimePoint{}) continue;
    // The report was sent before it arrived at `reported_at`, so the converted time is never later
    // than the actual one.
    push.verified_at_us = peer.report.sent_at_us + (verified_at - peer.reported_at).count();
    SendTo(address, relayed && IsRelay(address) ? kRelayFeedKind : kFeedKind, Pack(push));
  }
}

void PeerExchange::PushFeed(FeedPush push, TimePoint verified_at) {
  const bool to_all = !UsesDigests() || relays_.empty();
  SendFeed(push, verified_at, [this, to_all](const std::string& address, const Peer& /*peer*/) {
    return to_all || IsRelay(address);
  });
}

bool PeerExchange::RelaysTo(const std::string& address, const Peer& peer) const {
  return peer.report.data_centre == data_centre_ && !peer.report.leading && !IsRelay(address);
}

void PeerExchange::RelayFeed(FeedPush push) {
  if (on_feed) on_feed(push);
  SendFeed(
      push, TimePoint{Duration(push.verified_at_us)},
      [this](const std::string& address, const Peer& peer) { return RelaysTo(address, peer); });
}

void PeerExchange::SendTable(const std::string& bytes) { Broadcast(kTableKind, bytes); }

void PeerExchange::SendTableChange(const std::string& bytes) { Broadcast(kTableChangeKind, bytes); }

void PeerExchange::Broadcast(char kind, const std::string& body) {
  const auto datagram = std::make_shared<const std::string>(kind + body);
  if (!UsesDigests() || relays_.empty()) {
    for (const auto& [address, peer] : peers_) queue_.push_back({address, datagram});
  } else {
    const auto relayed = std::make_shared<const std::string>(kRelayKind + *datagram);
    for (const std::string& address : relays_) queue_.push_back({address, relayed});
  }
  SendQueued();
}

void PeerExchange::Relay(const std::string& datagram) {
  Receive(datagram.data(), datagram.size());
  const auto shared = std::make_shared<const std::string>(datagram);
  for (const auto& [address, peer] : peers_) {
    if (RelaysTo(address, peer)) queue_.push_back({address, shared});
  }
  SendQueued();
}

void PeerExchange::SendQueued() {
  send_budget_.Update(loop_.now());
  while (queue_.size() > kMaxQueuedDatagrams) queue_.pop_front();
  while (!queue_.empty() && send_budget_.tokens() > 0) {
    const Queued next = std::move(queue_.front());
    queue_.pop_front();
    send_budget_.Add(-static_cast<double>(next.datagram->size()));
    SendDatagram(next.address, *next.datagram);
  }
  if (queue_.empty() || queue_timer_) return;
  queue_timer_ = loop_.RunAfter(kQueueInterval, [this] {
    queue_timer_ = net::TimerId{};
    SendQueued();
  });
}

void PeerExchange::SendTable(const std::string& bytes, const std::string& address) {
  queue_.push_back({address, std::make_shared<const std::string>(kTableKind + bytes)});
  SendQueued();
}

}  // namespace dogwoodport::fleet
