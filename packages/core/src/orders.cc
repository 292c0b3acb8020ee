#include "dogwoodport/core/orders.h"

#include <algorithm>

namespace dogwoodport {
namespace {

constexpr Duration kResendInterval{50'000};  // covers several round trips between data centres
constexpr Duration kOutcomeWriteTimeout{5'000'000};
constexpr Duration kInstalledSlowInterval{1'000'000};
constexpr int kInstalledFastSends = 10;
constexpr int kForwardSends = 100;
constexpr std::size_t kRecordsPerMessage = 64;
constexpr std::size_t kInstallWindow = 8;    // writes in flight while records are installed
constexpr std::size_t kTransferWindow = 64;  // transfer messages per resend interval
constexpr std::size_t kMaxWaiters = 8;
constexpr Duration kShortRetryDelay{200'000};
constexpr Duration kLongRetryDelay{2'000'000};
// Time after the deadline after which no response of the target is expected.
constexpr Duration kResponseGrace{60'000'000};

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

std::uint64_t HashOf(const OrderId& id) { return Mix(id.high ^ id.account.value, id.low); }

const Member* FindMember(const Delegation& delegation, InstanceId id) {
  const auto it = std::find_if(delegation.members.begin(), delegation.members.end(),
                               [&](const Member& m) { return m.id == id; });
  return it == delegation.members.end() ? nullptr : &*it;
}

bool Includes(const Delegation& delegation, InstanceId id, Incarnation incarnation) {
  const Member* member = FindMember(delegation, id);
  return member != nullptr && member->incarnation == incarnation;
}

Duration RetryAfter(OrderRefusal reason) {
  switch (reason) {
    case OrderRefusal::kConflict:
      return Duration{0};
    case OrderRefusal::kNotFresh:
    case OrderRefusal::kTableFull:
    case OrderRefusal::kTransferring:
      return kLongRetryDelay;
    default:
      return kShortRetryDelay;
  }
}

}  // namespace

std::string_view ToString(OrderRefusal refusal) noexcept {
  constexpr std::string_view kNames[] = {
      "order_conflict", "not_authority",    "order_takeover", "order_transfer", "order_not_fresh",
      "no_permit",      "order_table_full", "deadline",       "not_sent",       "order_busy"};
  return kNames[static_cast<std::size_t>(refusal)];
}

std::uint32_t OrderPartition(const OrderId& id) noexcept {
  return static_cast<std::uint32_t>(HashOf(id) % kOrderPartitions);
}

std::optional<DataCentreId> OrderPartitionHome(std::uint32_t partition,
                                               const std::vector<DataCentreId>& in_service) {
  const auto best =
      std::max_element(in_service.begin(), in_service.end(), [&](DataCentreId a, DataCentreId b) {
        return Mix(a.value, partition + 1) < Mix(b.value, partition + 1);
      });
  if (best == in_service.end()) return std::nullopt;
  return *best;
}

std::optional<InstanceId> OrderAuthority(const Delegation& delegation, const OrderId& id) {
  const std::uint64_t hash = HashOf(id);
  std::optional<InstanceId> best;
  std::uint64_t best_weight = 0;
  for (const Member& member : delegation.members) {
    if (member.witness) continue;
    const std::uint64_t weight = Mix(member.id.value, hash);
    if (best && weight <= best_weight) continue;
    best = member.id;
    best_weight = weight;
  }
  return best;
}

Orders::Orders(const OrderSettings& settings)
    : settings_(settings), table_(settings.window, settings.max_bytes) {}

bool Orders::IsMember() const {
  return delegation_ && Includes(*delegation_, settings_.self, settings_.incarnation);
}

bool Orders::IsAuthority(const OrderId& id) const {
  return IsMember() && OrderAuthority(*delegation_, id) == settings_.self;
}

std::size_t Orders::Majority(const Delegation& delegation) const {
  return delegation.members.size() / 2 + 1;
}

void Orders::OnPermit(TimePoint /*now*/, TimePoint valid_until) {
  permit_until_ = std::max(permit_until_, valid_until);
}

void Orders::RejectNow(std::uint64_t request, OrderRefusal reason, RunState run) {
  actions_.emplace_back(Reject{request, reason, run, RetryAfter(reason)});
}

// ---- Delegations: collection and installation ----

void Orders::OnDelegation(TimePoint now, std::int64_t wall_ms, const Delegation& delegation,
                          const std::vector<Delegation>& earlier, Outbox& out) {
  if (delegation.data_centre != settings_.data_centre) return;
  if (delegation_ && delegation.offset <= delegation_->offset) return;
  delegation_ = delegation;
  earlier_ = earlier;
  writes_.clear();
  collections_.clear();
  installing_ = false;
  installs_in_flight_ = 0;
  std::erase_if(installed_, [&](const auto& entry) {
    return entry.first < (earlier.empty() ? delegation.offset : earlier.back().offset);
  });
  ready_ = false;
  EndFlightsOfOldDelegation(now, out);
  if (std::holds_alternative<AuthorityMemory>(settings_.policy)) {
    ready_ = true;
    if (!earlier.empty()) {
      takeovers_.push_back(Takeover{earlier.front(), wall_ms, now + settings_.window});
    }
    return;
  }
  StartCollection(now, out);
}

void Orders::EndFlightsOfOldDelegation(TimePoint now, Outbox& out) {
  std::vector<std::uint64_t> unsent;
  for (const auto& [request, flight] : flights_) {
    if (flight.phase != Phase::kSent) unsent.push_back(request);
  }
  for (const std::uint64_t request : unsent) Abort(now, request, OrderRefusal::kTakeover, out);
}

void Orders::StartCollection(TimePoint now, Outbox& out) {
  if (!IsMember()) return;
  if (!earlier_.empty()) AddGroup(now, 0);
  SendCollects(now, out);
  CheckCollection(now, out);
}

void Orders::AddGroup(TimePoint now, std::size_t index) {
  GroupCollection collection{earlier_[index], {}, installed_[earlier_[index].offset]};
  for (const Member& member : collection.group.members) {
    MemberCollection& state = collection.members[member.id];
    state.next_send = now;
    // The local table contains the records of this member, unless an earlier run of the process was
    // the member.
    state.done = member.id == settings_.self && member.incarnation == settings_.incarnation;
  }
  collections_.push_back(std::move(collection));
}

void Orders::SendCollects(TimePoint now, Outbox& out) {
  for (GroupCollection& collection : collections_) {
    for (auto& [id, member] : collection.members) {
      if (member.done || id == settings_.self || now < member.next_send) continue;
      member.next_send = now + kResendInterval;
      out.Send(id, OrderCollect{settings_.data_centre, delegation_->offset, collection.group.offset,
                                member.after});
    }
  }
}

void Orders::CheckCollection(TimePoint now, Outbox& out) {
  if (ready_) return;
  for (const GroupCollection& collection : collections_) {
    const auto done = std::count_if(collection.members.begin(), collection.members.end(),
                                    [](const auto& m) { return m.second.done; });
    if (static_cast<std::size_t>(done) < Majority(collection.group)) return;
  }
  // A group whose authorities have not all installed their records may lack records of its
  // predecessor.
  if (!collections_.empty() && collections_.size() < earlier_.size()) {
    const GroupCollection& oldest = collections_.back();
    const bool complete =
        std::all_of(oldest.group.members.begin(), oldest.group.members.end(),
                    [&](const Member& m) { return m.witness || oldest.installed.contains(m.id); });
    if (!complete) {
      AddGroup(now, collections_.size());
      SendCollects(now, out);
      CheckCollection(now, out);
      return;
    }
  }
  Install(now, out);
}

void Orders::Install(TimePoint now, Outbox& out) {
  if (installing_) return;
  installing_ = true;
  install_after_ = OrderId{};
  install_sent_all_ = false;
  InstallMore(now, out);
}

void Orders::InstallMore(TimePoint now, Outbox& out) {
  while (!install_sent_all_ && installs_in_flight_ < kInstallWindow) {
    std::vector<OrderRecord> records;
    table_.ForEachAfter(now, install_after_, [&](OrderRecord record) {
      install_after_ = record.id;
      if (!IsAuthority(record.id)) return true;
      // It is not known whether the earlier authority sent the request after it recorded the
      // intent.
      if (record.state == OrderState::kIntent) record.state = OrderState::kUnknown;
      records.push_back(std::move(record));
      return records.size() < kRecordsPerMessage;
    });
    install_sent_all_ = records.size() < kRecordsPerMessage;
    if (records.empty()) break;
    for (const OrderRecord& record : records) table_.Apply(now, record);
    ++installs_in_flight_;
    const std::uint64_t sequence = Write(now, std::move(records));
    writes_.at(sequence).installing = true;
    CheckWrite(now, sequence, out);
  }
  if (!installing_ || !install_sent_all_ || installs_in_flight_ > 0) return;
  installing_ = false;
  ready_ = true;
  collections_.clear();
  installed_[delegation_->offset].insert(settings_.self);
  installed_sends_ = 0;
  SendInstalled(now, out);
}

void Orders::SendInstalled(TimePoint now, Outbox& out) {
  ++installed_sends_;
  next_installed_ =
      now + (installed_sends_ < kInstalledFastSends ? kResendInterval : kInstalledSlowInterval);
  for (const Member& member : delegation_->members) {
    if (member.id == settings_.self) continue;
    out.Send(member.id, OrderInstalled{settings_.data_centre, delegation_->offset});
  }
}

void Orders::OnRecordsLost(TimePoint now, std::int64_t wall_ms, Outbox& out) {
  lost_wall_ms_ = wall_ms;
  lost_until_ = now + settings_.window;
  collections_.clear();
  if (IsMember() && !ready_) Install(now, out);
}

void Orders::OnMessage(TimePoint /*now*/, InstanceId from, const OrderInstalled& message,
                       Outbox& /*out*/) {
  if (message.data_centre == settings_.data_centre) installed_[message.delegation].insert(from);
}

void Orders::OnMessage(TimePoint now, InstanceId from, const OrderCollect& message, Outbox& out) {
  if (message.data_centre != settings_.data_centre || !delegation_) return;
  // Only a member that follows the new delegation may respond, since it no longer accepts writes of
  // the old one.
  if (delegation_->offset != message.delegation) return;
  const auto group = std::find_if(earlier_.begin(), earlier_.end(),
                                  [&](const Delegation& d) { return d.offset == message.group; });
  if (group == earlier_.end() || !Includes(*group, settings_.self, settings_.incarnation)) return;
  OrderCollected reply{
      settings_.data_centre, message.delegation, message.group, message.after, true, {}, {}};
  table_.ForEachAfter(now, message.after, [&](const OrderRecord& record) {
    if (OrderAuthority(*delegation_, record.id) != from) return true;
    if (reply.records.size() == kRecordsPerMessage) {
      reply.last = false;
      return false;
    }
    reply.records.push_back(record);
    return true;
  });
  const std::set<InstanceId>& installed = installed_[message.group];
  reply.installed.assign(installed.begin(), installed.end());
  out.Send(from, std::move(reply));
}

void Orders::OnMessage(TimePoint now, InstanceId from, const OrderCollected& message, Outbox& out) {
  if (message.data_centre != settings_.data_centre || !delegation_ || ready_) return;
  if (message.delegation != delegation_->offset) return;
  for (GroupCollection& collection : collections_) {
    if (collection.group.offset != message.group) continue;
    const auto it = collection.members.find(from);
    if (it == collection.members.end() || it->second.done) continue;
    if (it->second.after != message.after) continue;
    for (const OrderRecord& record : message.records) {
      // If a record does not fit, the collection remains incomplete, since an order without its
      // record could run twice.
      if (!table_.Apply(now, record)) return;
      it->second.after = record.id;
    }
    collection.installed.insert(message.installed.begin(), message.installed.end());
    it->second.done = message.last;
    it->second.next_send = now;
  }
  SendCollects(now, out);
  CheckCollection(now, out);
}

// ---- Writes to the permit group ----

std::uint64_t Orders::Write(TimePoint now, std::vector<OrderRecord> records) {
  const std::uint64_t sequence = next_sequence_++;
  PendingWrite& write = writes_[sequence];
  write.records = std::move(records);
  write.recorded_by.insert(settings_.self);
  write.next_send = now;
  write.abandon_at = now + kOutcomeWriteTimeout;
  return sequence;
}

void Orders::SendWrite(TimePoint now, std::uint64_t sequence, PendingWrite& write, Outbox& out) {
  write.next_send = now + kResendInterval;
  for (const Member& member : delegation_->members) {
    if (write.recorded_by.contains(member.id)) continue;
    out.Send(member.id,
             OrderWrite{settings_.data_centre, delegation_->offset, sequence, write.records});
  }
}

void Orders::CheckWrite(TimePoint now, std::uint64_t sequence, Outbox& out) {
  const auto it = writes_.find(sequence);
  if (it == writes_.end()) return;
  if (it->second.recorded_by.size() < Majority(*delegation_)) {
    if (now >= it->second.next_send) SendWrite(now, sequence, it->second, out);
    return;
  }
  const PendingWrite write = std::move(it->second);
  writes_.erase(it);
  if (write.request != 0) AllowSend(now, write.request, out);
  if (write.transfer_ack) out.Send(write.transfer_ack->first, write.transfer_ack->second);
  if (write.installing) {
    --installs_in_flight_;
    InstallMore(now, out);
  }
}

void Orders::OnMessage(TimePoint now, InstanceId from, const OrderWrite& message, Outbox& out) {
  if (message.data_centre != settings_.data_centre || !IsMember()) return;
  if (message.delegation != delegation_->offset) return;
  bool recorded = true;
  for (const OrderRecord& record : message.records) recorded &= table_.Apply(now, record);
  if (!recorded) return;
  out.Send(from, OrderWriteAck{settings_.data_centre, message.delegation, message.sequence});
}

void Orders::OnMessage(TimePoint now, InstanceId from, const OrderWriteAck& message, Outbox& out) {
  if (message.data_centre != settings_.data_centre || !delegation_) return;
  if (message.delegation != delegation_->offset || !FindMember(*delegation_, from)) return;
  const auto it = writes_.find(message.sequence);
  if (it == writes_.end()) return;
  it->second.recorded_by.insert(from);
  CheckWrite(now, message.sequence, out);
}

// ---- Requests ----

std::optional<OrderRefusal> Orders::Precondition(TimePoint now, const OrderRequest& request) const {
  if (!ready_) return OrderRefusal::kTakeover;
  if (transfer_) return OrderRefusal::kTransferring;
  if (now >= permit_until_) return OrderRefusal::kNoPermit;
  if (now >= request.deadline) return OrderRefusal::kDeadline;
  if (!ProvesFreshness(now, request)) return OrderRefusal::kNotFresh;
  if (!table_.HasRoom()) return OrderRefusal::kTableFull;
  return std::nullopt;
}

bool Orders::ProvesFreshness(TimePoint now, const OrderRequest& request) const {
  const auto after = [&](std::int64_t wall_ms) {
    return request.first_sent_ms && *request.first_sent_ms > wall_ms + kFreshnessSkewMs;
  };
  if (request.taken_over_ms && !after(*request.taken_over_ms)) return false;
  if (lost_wall_ms_ && now < lost_until_ && !after(*lost_wall_ms_)) return false;
  const auto* memory = std::get_if<AuthorityMemory>(&settings_.policy);
  if (memory == nullptr || !memory->refuse_after_takeover) return true;
  return std::all_of(takeovers_.begin(), takeovers_.end(), [&](const Takeover& takeover) {
    const bool was_authority = Includes(takeover.previous, settings_.self, settings_.incarnation) &&
                               OrderAuthority(takeover.previous, request.id) == settings_.self;
    return now >= takeover.until || was_authority || after(takeover.wall_ms);
  });
}

bool Orders::RespondFromRecord(const OrderRequest& request, const OrderRecord& record) {
  if (record.state == OrderState::kNotRun) return false;
  if (record.body != request.body) {
    RejectNow(request.request, OrderRefusal::kConflict);
    return true;
  }
  const auto flight = flight_of_.find(request.id);
  if (flight != flight_of_.end()) {
    auto& waiters = flights_.at(flight->second).waiters;
    if (waiters.size() >= kMaxWaiters) {
      RejectNow(request.request, OrderRefusal::kBusy, RunState::kUnknown);
    } else {
      waiters.emplace_back(request.request, request.deadline);
    }
    return true;
  }
  if (record.state == OrderState::kDone) {
    actions_.emplace_back(
        ReplayOutcome{request.request, record.status, record.answer_kept, record.answer});
  } else {
    actions_.emplace_back(ReportUnknown{request.request});
  }
  return true;
}

void Orders::Begin(TimePoint now, const OrderRequest& request, Outbox& out) {
  if (!IsAuthority(request.id)) return RejectNow(request.request, OrderRefusal::kNotAuthority);
  const auto record = table_.Find(now, request.id);
  if (record && RespondFromRecord(request, *record)) return;
  if (const auto refusal = Precondition(now, request)) return RejectNow(request.request, *refusal);
  StartAttempt(now, request, out);
}

void Orders::StartAttempt(TimePoint now, const OrderRequest& request, Outbox& out) {
  OrderRecord record{request.id, request.body, Epoch{delegation_->offset, next_counter_++}};
  record.scope = request.scope;
  if (!table_.Apply(now, record)) return RejectNow(request.request, OrderRefusal::kTableFull);
  flights_[request.request] =
      Flight{request.id, record.attempt, Phase::kRecording, request.deadline, {}};
  flight_of_[request.id] = request.request;
  if (std::holds_alternative<AuthorityMemory>(settings_.policy)) {
    AllowSend(now, request.request, out);
    return;
  }
  const std::uint64_t sequence = Write(now, {record});
  writes_.at(sequence).request = request.request;
  CheckWrite(now, sequence, out);
}

void Orders::AllowSend(TimePoint now, std::uint64_t request, Outbox& out) {
  const auto it = flights_.find(request);
  if (it == flights_.end()) return;
  if (now >= it->second.deadline) return Abort(now, request, OrderRefusal::kDeadline, out);
  if (now >= permit_until_) return Abort(now, request, OrderRefusal::kNoPermit, out);
  it->second.phase = Phase::kMaySend;
  actions_.emplace_back(MaySend{request});
}

bool Orders::OnFirstByte(TimePoint now, std::uint64_t request, Outbox& out) {
  const auto it = flights_.find(request);
  if (it == flights_.end() || it->second.phase != Phase::kMaySend) return false;
  if (now >= it->second.deadline || now >= permit_until_) {
    const bool expired = now >= it->second.deadline;
    Abort(now, request, expired ? OrderRefusal::kDeadline : OrderRefusal::kNoPermit, out);
    return false;
  }
  it->second.phase = Phase::kSent;
  return true;
}

void Orders::OnAnswer(TimePoint now, std::uint64_t request, std::uint16_t status,
                      std::string answer, Outbox& out) {
  Finish(now, request, OrderState::kDone, status, std::move(answer), out);
}

void Orders::OnUnknown(TimePoint now, std::uint64_t request, Outbox& out) {
  Finish(now, request, OrderState::kUnknown, 0, {}, out);
}

void Orders::OnNotSent(TimePoint now, std::uint64_t request, Outbox& out) {
  const auto it = flights_.find(request);
  if (it == flights_.end() || it->second.phase == Phase::kSent) return;
  Abort(now, request, OrderRefusal::kNotSent, out);
}

void Orders::OnNotRun(TimePoint now, std::uint64_t request, Outbox& out) {
  Abort(now, request, OrderRefusal::kNotSent, out);
}

void Orders::Finish(TimePoint now, std::uint64_t request, OrderState state, std::uint16_t status,
                    std::string answer, Outbox& out) {
  const auto it = flights_.find(request);
  if (it == flights_.end() || it->second.phase != Phase::kSent) return;
  const Flight flight = std::move(it->second);
  flights_.erase(it);
  flight_of_.erase(flight.id);
  for (const auto& [waiter, deadline] : flight.waiters) {
    if (state == OrderState::kDone) {
      actions_.emplace_back(ReplayOutcome{waiter, status, true, answer});
    } else {
      actions_.emplace_back(ReportUnknown{waiter});
    }
  }
  auto record = table_.Find(now, flight.id);
  if (!record || record->attempt != flight.attempt) return;
  record->state = state;
  record->status = status;
  record->answer_kept = state == OrderState::kDone;
  record->answer = std::move(answer);
  table_.Apply(now, *record);
  Publish(now, *record, out);
}

void Orders::Abort(TimePoint now, std::uint64_t request, OrderRefusal reason, Outbox& out) {
  const auto it = flights_.find(request);
  if (it == flights_.end()) return;
  const Flight flight = std::move(it->second);
  flights_.erase(it);
  flight_of_.erase(flight.id);
  std::erase_if(writes_, [&](const auto& entry) { return entry.second.request == request; });
  RejectNow(request, reason);
  for (const auto& [waiter, deadline] : flight.waiters) RejectNow(waiter, reason);
  auto record = table_.Find(now, flight.id);
  if (!record || record->attempt != flight.attempt) return;
  record->state = OrderState::kNotRun;
  table_.Apply(now, *record);
  Publish(now, *record, out);
}

void Orders::Publish(TimePoint now, const OrderRecord& record, Outbox& out) {
  if (!IsAuthority(record.id)) {
    forwards_.push_back(Forward{record.id, record.attempt, now, kForwardSends});
    TickForwards(now, out);
    return;
  }
  if (std::holds_alternative<AuthorityMemory>(settings_.policy) || !ready_) return;
  CheckWrite(now, Write(now, {record}), out);
}

void Orders::OnMessage(TimePoint now, InstanceId /*from*/, const OrderOutcome& message,
                       Outbox& out) {
  if (message.data_centre != settings_.data_centre || !IsAuthority(message.record.id)) return;
  const auto held = table_.Find(now, message.record.id);
  const bool is_newer =
      !held || held->attempt < message.record.attempt ||
      (held->attempt == message.record.attempt && held->state < message.record.state);
  if (!is_newer || !table_.Apply(now, message.record)) return;
  Publish(now, message.record, out);
}

std::optional<OrderStatus> Orders::Query(TimePoint now, const OrderId& id) const {
  const auto record = table_.Find(now, id);
  if (!record) return std::nullopt;
  return OrderStatus{record->state, flight_of_.contains(id), record->age_ms, record->status};
}

// ---- Planned transfer ----

void Orders::BeginTransfer(
    TimePoint now, std::function<std::optional<Delegation>(std::uint64_t scope)> destination) {
  transfer_.emplace(Transfer{});
  transfer_->destination = std::move(destination);
  transfer_->next_send = now;
}

void Orders::StartTransfer(TimePoint now) {
  transfer_->started = true;
  std::map<InstanceId, std::vector<OrderTransfer>> messages;
  table_.ForEachAfter(now, OrderId{}, [&](OrderRecord record) {
    if (!IsAuthority(record.id)) return true;
    const auto to = transfer_->destination(record.scope);
    const auto receiver = to ? OrderAuthority(*to, record.id) : std::nullopt;
    if (!receiver) return true;
    if (record.state == OrderState::kIntent) record.state = OrderState::kUnknown;
    auto& list = messages[*receiver];
    if (list.empty() || list.back().records.size() == kRecordsPerMessage) {
      list.push_back(
          OrderTransfer{to->data_centre, settings_.data_centre, settings_.incarnation, 0, {}});
    }
    list.back().records.push_back(std::move(record));
    return true;
  });
  for (auto& [receiver, list] : messages) {
    for (OrderTransfer& message : list) {
      const std::uint64_t sequence = next_sequence_++;
      message.sequence = sequence;
      transfer_->unacknowledged[sequence] = Envelope{receiver, std::move(message)};
    }
  }
}

void Orders::TickTransfer(TimePoint now, Outbox& out) {
  if (!transfer_ || !ready_) return;
  if (!transfer_->started && flights_.empty()) StartTransfer(now);
  if (!transfer_->started || now < transfer_->next_send) return;
  transfer_->next_send = now + kResendInterval;
  std::size_t sent = 0;
  for (const auto& [sequence, envelope] : transfer_->unacknowledged) {
    if (sent++ == kTransferWindow) break;
    out.Send(envelope.to, envelope.message);
  }
}

void Orders::OnMessage(TimePoint now, InstanceId from, const OrderTransfer& message, Outbox& out) {
  if (message.data_centre != settings_.data_centre || !ready_) return;
  for (const OrderRecord& record : message.records) {
    if (!IsAuthority(record.id) || !table_.Apply(now, record)) return;
  }
  const OrderTransferAck ack{message.origin, message.incarnation, message.sequence};
  if (std::holds_alternative<AuthorityMemory>(settings_.policy)) {
    out.Send(from, ack);
    return;
  }
  const std::uint64_t sequence = Write(now, message.records);
  writes_.at(sequence).transfer_ack = {from, ack};
  CheckWrite(now, sequence, out);
}

void Orders::OnMessage(TimePoint /*now*/, InstanceId /*from*/, const OrderTransferAck& message,
                       Outbox& /*out*/) {
  if (!transfer_ || message.incarnation != settings_.incarnation) return;
  transfer_->unacknowledged.erase(message.sequence);
}

// ---- Timers ----

void Orders::TickFlights(TimePoint now, Outbox& out) {
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> unanswered;
  for (auto& [request, flight] : flights_) {
    std::erase_if(flight.waiters, [&](const auto& waiter) {
      if (now < waiter.second) return false;
      actions_.emplace_back(ReportUnknown{waiter.first});
      return true;
    });
    const bool sent = flight.phase == Phase::kSent;
    if (!sent && now >= flight.deadline) expired.push_back(request);
    if (sent && now >= flight.deadline + kResponseGrace) unanswered.push_back(request);
  }
  for (const std::uint64_t request : expired) Abort(now, request, OrderRefusal::kDeadline, out);
  for (const std::uint64_t request : unanswered) OnUnknown(now, request, out);
}

void Orders::TickForwards(TimePoint now, Outbox& out) {
  for (Forward& forward : forwards_) {
    if (now < forward.next_send) continue;
    forward.next_send = now + kResendInterval;
    --forward.sends_remaining;
    const auto record = table_.Find(now, forward.id);
    if (!record || record->attempt != forward.attempt) {
      forward.sends_remaining = 0;
      continue;
    }
    const auto authority = OrderAuthority(*delegation_, forward.id);
    if (authority) out.Send(*authority, OrderOutcome{settings_.data_centre, *record});
  }
  std::erase_if(forwards_, [](const Forward& f) { return f.sends_remaining <= 0; });
}

void Orders::Tick(TimePoint now, Outbox& out) {
  table_.Tick(now);
  if (!delegation_) return;
  TickFlights(now, out);
  TickForwards(now, out);
  SendCollects(now, out);
  CheckCollection(now, out);
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, write] : writes_) sequences.push_back(sequence);
  for (const std::uint64_t sequence : sequences) CheckWrite(now, sequence, out);
  // Intents and installations are resent until they succeed. Other writes are abandoned after
  // kOutcomeWriteTimeout: outcomes only complete records that the group already has in part, and
  // unacknowledged transfers are resent by their sender.
  std::erase_if(writes_, [&](const auto& entry) {
    const PendingWrite& write = entry.second;
    return write.request == 0 && !write.installing && now >= write.abandon_at;
  });
  if (ready_ && IsMember() && now >= next_installed_) SendInstalled(now, out);
  TickTransfer(now, out);
}

}  // namespace dogwoodport
