#include "dogwoodport/fleet/membership/peer_exchange.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "dogwoodport/fleet/detail/packing.h"
#include "dogwoodport/net/net_error.h"
#include "peer_datagrams.h"

namespace dogwoodport::fleet {
namespace {

using detail::Pack;
using detail::Unpack;

constexpr std::size_t kMaxDatagramBytes = 65'000;
/// Time over which the instances of a large fleet spread their first reports to a new coordinator
/// or to new relays.
constexpr Duration kFirstReportSpread{400'000};
/// Maximum number of datagrams read per event.
constexpr int kMaxReadsPerRound = 64;

}  // namespace

PeerExchange::PeerExchange(net::EventLoop& loop, EventLog& log, PeerSettings settings,
                           PeerIdentity identity)
    : loop_(loop),
      log_(log),
      settings_(settings),
      address_(identity.address),
      data_centre_(std::move(identity.data_centre)),
      incarnation_(identity.incarnation),
      processor_share_(identity.processor_share) {
  try {
    socket_.bind(Poco::Net::SocketAddress(address_), true);
    socket_.setBlocking(false);
  } catch (const Poco::Exception& e) {
    throw net::NetError("cannot bind " + address_ + ": " + e.displayText());
  }
  send_budget_.Configure(settings_.max_bytes_per_s, settings_.burst_bytes);
  send_budget_.Add(settings_.burst_bytes);
  loop_.Watch(socket_, Poco::Net::PollSet::POLL_READ, this);
  ScheduleReport(ReportInterval(leading_));
  ScheduleLoad();
}

PeerExchange::~PeerExchange() {
  loop_.Cancel(report_timer_);
  loop_.Cancel(load_timer_);
  loop_.Cancel(digest_timer_);
  loop_.Cancel(queue_timer_);
  loop_.Unwatch(socket_);
}

Duration PeerExchange::ScaledInterval(Duration min_interval, double max_per_s) const {
  return std::max(min_interval, FromSeconds(static_cast<double>(peers_.size()) / max_per_s));
}

Duration PeerExchange::ReportInterval(bool of_coordinator) const {
  if (of_coordinator) {
    return ScaledInterval(settings_.report_interval, settings_.max_coordinator_reports_per_s);
  }
  // In a large fleet, only the coordinator receives these reports, or the candidates if there is
  // none.
  if (IsLarge()) {
    return ScaledInterval(settings_.digest_interval, settings_.max_coordinator_reports_per_s);
  }
  return ScaledInterval(settings_.report_interval, settings_.max_reports_per_s);
}

bool PeerExchange::UsesDigests() const {
  if (!IsLarge()) return false;
  if (leading_) return true;
  const TimePoint now = loop_.now();
  const Duration timeout = CoordinatorTimeout(settings_.peer_timeout);
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return it.second.seen && it.second.report.leading && now - it.second.last_seen_at <= timeout;
  });
}

std::vector<std::string> PeerExchange::LoadReceivers() const {
  if (!IsLarge()) return KnownAddresses();
  std::vector<std::string> result;
  const auto add = [&](Peers::const_iterator from, Peers::const_iterator to) {
    for (; from != to && result.size() < settings_.max_neighbours; ++from) {
      if (from->second.report.data_centre == data_centre_) result.push_back(from->first);
    }
  };
  const auto next = peers_.upper_bound(address_);
  add(next, peers_.end());
  add(peers_.begin(), next);
  return result;
}

Duration PeerExchange::CoordinatorTimeout(Duration min_timeout) const {
  return std::max(min_timeout, ReportInterval(true) * settings_.coordinator_timeout_intervals);
}

void PeerExchange::SetLeading(bool leading) {
  if (leading_ == leading) return;
  leading_ = leading;
  last_digest_at_ = loop_.now();
  loop_.Cancel(report_timer_);
  loop_.Cancel(digest_timer_);
  Report(Audience::kAll, false);
  ScheduleReport(ReportInterval(leading_));
  if (leading_) ScheduleDigest(settings_.digest_interval);
}

void PeerExchange::ScheduleReport(Duration delay) {
  report_timer_ = loop_.RunAfter(delay, [this] {
    report_timer_ = net::TimerId{};
    ReportNow();
    ScheduleReport(ReportInterval(leading_));
  });
}

void PeerExchange::ScheduleLoad() {
  const std::size_t receivers = std::min(peers_.size(), settings_.max_neighbours);
  const Duration interval =
      std::max(settings_.load_interval,
               FromSeconds(static_cast<double>(receivers) / settings_.max_loads_per_s));
  load_timer_ = loop_.RunAfter(interval, [this] {
    SendLoad();
    ScheduleLoad();
  });
}

void PeerExchange::SendLoad() {
  if (!on_prepare_load) return;
  PeerLoad load;
  load.address = address_;
  load.sequence_number = incarnation_ + ++load_number_;
  on_prepare_load(load);
  if (load.in_flight.empty() && load_was_empty_) return;
  load_was_empty_ = load.in_flight.empty();
  const std::string body = Pack(load);
  const ReachableTest reachable = Reachable();
  for (const std::string& address : LoadReceivers()) {
    if (reachable(peers_.at(address))) SendTo(address, kLoadKind, body);
  }
}

void PeerExchange::ReceiveLoad(PeerLoad load) {
  const auto it = peers_.find(load.address);
  if (it == peers_.end() || load.sequence_number < it->second.load.sequence_number) return;
  if (on_load) on_load(it->second.load, load);
  it->second.load = std::move(load);
}

void PeerExchange::AddPeer(const InstanceSummary& instance) {
  if (instance.address == address_) return;
  ever_known_.insert(instance.address);
  const auto [it, added] = peers_.try_emplace(instance.address);
  if (added) it->second.known_since = loop_.now();
  it->second.report.data_centre = instance.data_centre;
  it->second.report.processor_share = instance.processor_share;
}

void PeerExchange::ReportNow(bool urgent) {
  ForgetExpiredPeers();
  Report(ReportAudience(), urgent);
}

PeerExchange::Audience PeerExchange::ReportAudience() const {
  if (leading_ || !IsLarge()) return Audience::kAll;
  return UsesDigests() ? Audience::kCoordinator : Audience::kCandidates;
}

void PeerExchange::Report(Audience audience, bool urgent) {
  PeerReport report;
  report.address = address_;
  report.incarnation = incarnation_;
  report.sequence_number = ++report_number_;
  report.data_centre = data_centre_;
  report.processor_share = processor_share_;
  report.sent_at_us = loop_.now().time_since_epoch().count();
  report.urgent = urgent;
  if (on_prepare) on_prepare(report);
  const std::string full_body = Pack(report);
  report.key_load.clear();
  const std::string body = Pack(report);
  const std::set<std::string> candidates =
      audience == Audience::kCandidates ? CoordinatorCandidates() : std::set<std::string>();
  for (const auto& [address, peer] : peers_) {
    const bool to_coordinator = peer.report.leading;
    const bool to_relay = peer.report.data_centre == data_centre_ && IsRelay(address);
    if (audience == Audience::kAll || to_coordinator || to_relay || candidates.count(address) > 0) {
      SendTo(address, kReportKind, to_coordinator ? full_body : body);
    }
  }
}

void PeerExchange::SendTo(const std::string& address, char kind, const std::string& body) {
  SendDatagram(address, kind + body);
}

void PeerExchange::SendDatagram(const std::string& address, const std::string& datagram) {
  try {
    const int n = socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                                 Poco::Net::SocketAddress(address));
    if (n > 0) sent_bytes_ += static_cast<std::uint64_t>(n);
  } catch (const Poco::Exception& e) {
    log_.Write(LogLevel::kWarning, "report_not_sent",
               {{"peer", address}, {"bytes", datagram.size()}, {"error", e.displayText()}});
  }
}

void PeerExchange::SendLoan(const LoanMessage& message) {
  if (const auto* const request = std::get_if<LoanRequest>(&message.body)) {
    SendTo(message.to, kLoanRequestKind, Pack(*request));
  } else {
    SendTo(message.to, kLoanGrantKind, Pack(std::get<LoanGrant>(message.body)));
  }
}

void PeerExchange::OnReadable() {
  std::array<char, kMaxDatagramBytes> buf;
  for (int i = 0; i < kMaxReadsPerRound; ++i) {
    try {
      const int n = socket_.receiveBytes(buf.data(), static_cast<int>(buf.size()));
      if (n <= 0) return;
      Receive(buf.data(), static_cast<std::size_t>(n));
    } catch (const Poco::Exception&) {
      return;  // ICMP "port unreachable" for an earlier datagram.
    }
  }
}

void PeerExchange::Receive(const char* data, std::size_t size) {
  try {
    const std::string body(data + 1, size - 1);
    if (data[0] == kTableKind && on_table) on_table(body);
    if (data[0] == kTableChangeKind && on_table_change) on_table_change(body);
    if (data[0] == kRelayKind) Relay(body);
    if (data[0] == kRelayFeedKind) RelayFeed(Unpack<FeedPush>(body));
    if (data[0] == kDigestKind) ReceiveDigest(Unpack<PeerDigest>(body));
    if (data[0] == kFeedKind && on_feed) on_feed(Unpack<FeedPush>(body));
    if (data[0] == kReportKind) ReceiveReport(Unpack<PeerReport>(body));
    if (data[0] == kLoadKind) ReceiveLoad(Unpack<PeerLoad>(body));
    if (data[0] == kLoanRequestKind && on_loan_request) on_loan_request(Unpack<LoanRequest>(body));
    if (data[0] == kLoanGrantKind && on_loan_grant) on_loan_grant(Unpack<LoanGrant>(body));
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "datagram_unreadable", {{"bytes", size}, {"error", e.what()}});
  }
}

void PeerExchange::ReceiveReport(PeerReport report) {
  if (report.address == address_) return;
  AddPeer({report.address, report.data_centre, report.processor_share});
  Peer& peer = peers_[report.address];
  const bool older =
      peer.seen && std::pair(report.incarnation, report.sequence_number) <
                       std::pair(peer.report.incarnation, peer.report.sequence_number);
  if (older) return;
  if (!Reachable()(peer)) {
    log_.Write(LogLevel::kInfo, "peer_reachable", {{"peer", report.address}});
  }
  // The digests of a new coordinator list only instances from which it has received reports.
  const bool new_coordinator = report.leading && !peer.report.leading && IsLarge();
  peer.report = std::move(report);
  peer.last_seen_at = peer.reported_at = loop_.now();
  peer.seen = true;
  if (on_report) on_report(peer);
  if (new_coordinator && !leading_) ReportSoon();
}

void PeerExchange::ReportSoon() {
  loop_.Cancel(report_timer_);
  const auto fraction = static_cast<double>(detail::ShortHashOf(address_)) / 4'294'967'296.0;
  ScheduleReport(FromSeconds(fraction * Seconds(kFirstReportSpread)));
}

void PeerExchange::ForgetExpiredPeers() {
  const TimePoint now = loop_.now();
  for (auto it = peers_.begin(); it != peers_.end();) {
    const TimePoint since = std::max(it->second.last_seen_at, it->second.known_since);
    const bool has_left =
        it->second.seen && it->second.report.leaving && now - since > settings_.peer_timeout;
    const Duration retention =
        it->second.seen ? settings_.peer_retention : settings_.unconfirmed_retention;
    if (now - since <= retention && !has_left) {
      ++it;
      continue;
    }
    log_.Write(LogLevel::kInfo, "peer_forgotten", {{"peer", it->first}});
    if (on_load) on_load(it->second.load, PeerLoad{});
    it = peers_.erase(it);
  }
}

ReachableTest PeerExchange::Reachable() const {
  return {loop_.now(), std::max(settings_.peer_timeout, ReportInterval(false) * 3),
          std::max(settings_.peer_timeout, ReportInterval(true) * 3)};
}

std::size_t PeerExchange::reachable() const {
  const ReachableTest test = Reachable();
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [&test](const auto& it) { return test(it.second); }));
}

std::string PeerExchange::Coordinator() const {
  const ReachableTest reachable = Reachable();
  const std::pair<const std::string, Peer>* newest = nullptr;
  for (const auto& it : peers_) {
    const PeerReport& report = it.second.report;
    if (!report.leading || report.leaving || !reachable(it.second)) continue;
    if (newest == nullptr || report.generation > newest->second.report.generation) newest = &it;
  }
  return newest == nullptr ? std::string() : newest->first;
}

bool PeerExchange::Follow(const std::vector<std::string>& addresses, std::uint64_t generation,
                          TimePoint since) const {
  return std::all_of(addresses.begin(), addresses.end(), [&](const std::string& address) {
    const auto it = peers_.find(address);
    return it != peers_.end() && it->second.reported_at > since && !it->second.report.leading &&
           it->second.report.generation >= generation;
  });
}

bool PeerExchange::AllFollow(std::uint64_t generation, TimePoint since) const {
  return Follow({ever_known_.begin(), ever_known_.end()}, generation, since);
}

std::vector<std::string> PeerExchange::KnownAddresses() const {
  std::vector<std::string> result;
  for (const auto& [address, peer] : peers_) result.push_back(address);
  return result;
}

}  // namespace dogwoodport::fleet
