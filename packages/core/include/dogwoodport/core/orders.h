#pragma once

/// @file
/// Facade of the requests that may not be repeated: each order runs at most once, and a caller that
/// retries gets the stored outcome.
///
/// One instance is the authority for an order. It records the intent with a majority of the permit
/// group before any byte leaves. The authorities of a new delegation collect the records from a
/// majority of the old group, whose members refuse writes of the old delegation from then on; the
/// two majorities share a member, so no intent that allowed a byte is missed.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/order_table.h"
#include "dogwoodport/core/request.h"

namespace dogwoodport {

/// Number of order partitions of services without keys.
inline constexpr std::uint32_t kOrderPartitions = 256;

/// Clock difference allowed between a caller's `Dogwood-First-Sent` and the instances.
inline constexpr std::int64_t kFreshnessSkewMs = 2'000;

/// Returns the order partition of an order of a service without keys.
std::uint32_t OrderPartition(const OrderId& id) noexcept;

/// Returns the home of a partition among the data centres in service, by rendezvous hashing;
/// nothing if the list is empty.
std::optional<DataCentreId> OrderPartitionHome(std::uint32_t partition,
                                               const std::vector<DataCentreId>& in_service);

/// Returns the authority for `id` among the members without witnesses; nothing if there is none.
std::optional<InstanceId> OrderAuthority(const Delegation& delegation, const OrderId& id);

/// Why an order was refused.
enum class OrderRefusal : std::uint8_t {
  kConflict,      ///< same idempotency key, other body: 409
  kNotAuthority,  ///< another instance is the authority
  kTakeover,      ///< the records of the earlier authority are being collected
  kTransferring,  ///< the orders are being handed to another data centre
  kNotFresh,      ///< records may be missing and the request does not prove that it is new
  kNoPermit,      ///< no valid permit
  kTableFull,     ///< the memory for orders is used up
  kDeadline,      ///< the deadline passed before the intent was recorded
  kNotSent,       ///< no target could be reached
  kBusy           ///< too many callers wait for the same order
};

/// Returns the stable code of `refusal`.
std::string_view ToString(OrderRefusal refusal) noexcept;

/// The gateway may send the request; directly before the first byte it calls `OnFirstByte`.
struct MaySend {
  std::uint64_t request = 0;
};

/// The request gets this refusal now.
struct Reject {
  std::uint64_t request = 0;
  OrderRefusal reason = OrderRefusal::kConflict;
  RunState run = RunState::kNo;
  Duration retry_after{0};
};

/// The request gets the outcome of an earlier one with the same key.
struct ReplayOutcome {
  std::uint64_t request = 0;
  std::uint16_t status = 0;
  bool answer_kept = false;
  std::string answer;
};

/// The request gets "outcome unknown" with a reference that can be queried.
struct ReportUnknown {
  std::uint64_t request = 0;
};

using OrderAction = std::variant<MaySend, Reject, ReplayOutcome, ReportUnknown>;

/// A request that may not be repeated, at its authority.
struct OrderRequest {
  /// Unique at this instance.
  std::uint64_t request = 0;
  OrderId id;
  BodyHash body;
  /// Shard or order partition, as a hash; tells transfers where the order belongs.
  std::uint64_t scope = 0;
  TimePoint deadline;
  /// `Dogwood-First-Sent`, Unix time in milliseconds.
  std::optional<std::int64_t> first_sent_ms;
  /// Unix time at which this data centre took the scope over without its records, if it did so
  /// within kOrderWindow.
  std::optional<std::int64_t> taken_over_ms;
};

/// Intents are recorded with a majority of the permit group.
struct MajorityIntents {};

/// Intents are kept by the authority alone. Kept for measurement.
struct AuthorityMemory {
  /// Whether orders whose authority changed are refused for kOrderWindow unless they prove that
  /// they are new.
  bool refuse_after_takeover = true;
};

using IntentPolicy = std::variant<MajorityIntents, AuthorityMemory>;

/// Settings of `Orders`.
struct OrderSettings {
  InstanceId self;
  Incarnation incarnation;
  /// Data centre whose permit group this object belongs to.
  DataCentreId data_centre;
  IntentPolicy policy = MajorityIntents{};
  Duration window = kOrderWindow;
  /// Memory for records. 8 MiB hold 37,000 orders without answers, 62 a second over kOrderWindow.
  std::size_t max_bytes = 8 << 20;
};

/// What is known of an order, for queries.
struct OrderStatus {
  OrderState state = OrderState::kIntent;
  bool in_progress = false;
  std::uint32_t age_ms = 0;
  std::uint16_t status = 0;
};

/// The orders of one permit group at one instance. A witness has one object for its own data centre
/// and one for the group that it helps. Call `Tick` at least every 20 ms.
///
/// @code
/// orders.Begin(now, request, out);
/// for (const OrderAction& action : orders.TakeActions()) std::visit(gateway, action);
/// @endcode
class Orders {
 public:
  explicit Orders(const OrderSettings& settings);

  /// Takes a delegation of the data centre; older ones than known are ignored. `earlier` are the
  /// delegations before it, newest first, back to the age of kOrderWindow and at least one if there
  /// was any. `wall_ms` is the Unix time.
  void OnDelegation(TimePoint now, std::int64_t wall_ms, const Delegation& delegation,
                    const std::vector<Delegation>& earlier, Outbox& out);

  /// States that the instance holds a permit until `valid_until`.
  void OnPermit(TimePoint now, TimePoint valid_until);

  /// States that the records of earlier delegations cannot be collected, by an operator's
  /// declaration. Orders are then taken only with proof of freshness for kOrderWindow.
  void OnRecordsLost(TimePoint now, std::int64_t wall_ms, Outbox& out);

  /// Takes a request; its outcome comes by `TakeActions`, perhaps at once.
  void Begin(TimePoint now, const OrderRequest& request, Outbox& out);

  /// Asks directly before the first byte of a request that `MaySend` named. If false, no byte may
  /// leave; the request's refusal is among the actions.
  [[nodiscard]] bool OnFirstByte(TimePoint now, std::uint64_t request, Outbox& out);

  /// The target answered. `answer` is what a retrying caller gets, as the gateway encoded it.
  void OnAnswer(TimePoint now, std::uint64_t request, std::uint16_t status, std::string answer,
                Outbox& out);

  /// Bytes may have left and no answer will come.
  void OnUnknown(TimePoint now, std::uint64_t request, Outbox& out);

  /// The gateway gave up before the first byte.
  void OnNotSent(TimePoint now, std::uint64_t request, Outbox& out);

  /// The target answered that it did not run the order; another attempt is allowed.
  void OnNotRun(TimePoint now, std::uint64_t request, Outbox& out);

  /// Starts a planned transfer: new orders are refused, and once none is in flight the records are
  /// handed to the authorities under `destination(scope)`; nothing keeps the record here.
  void BeginTransfer(TimePoint now,
                     std::function<std::optional<Delegation>(std::uint64_t scope)> destination);

  /// Whether all transferred records are held by majorities of the new groups.
  bool transfer_done() const noexcept {
    return transfer_ && transfer_->started && transfer_->unacknowledged.empty();
  }

  /// Ends a transfer; orders are taken again.
  void EndTransfer() { transfer_.reset(); }

  void OnMessage(TimePoint now, InstanceId from, const OrderWrite& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderWriteAck& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderInstalled& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderCollect& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderCollected& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderOutcome& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderTransfer& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const OrderTransferAck& message, Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  /// Removes and returns what the gateway shall do.
  std::vector<OrderAction> TakeActions() { return std::exchange(actions_, {}); }

  /// Returns what is known of an order; nothing if no record is held.
  std::optional<OrderStatus> Query(TimePoint now, const OrderId& id) const;

  /// Whether the records of earlier delegations are installed.
  bool ready() const noexcept { return ready_; }
  const OrderTable& table() const noexcept { return table_; }

 private:
  enum class Phase : std::uint8_t { kRecording, kMaySend, kSent };

  /// A request that this instance is running.
  struct Flight {
    OrderId id;
    Epoch attempt;
    Phase phase = Phase::kRecording;
    TimePoint deadline;
    /// Later requests with the same key and their deadlines.
    std::vector<std::pair<std::uint64_t, TimePoint>> waiters;
  };

  /// A write that has not reached a majority.
  struct PendingWrite {
    std::vector<OrderRecord> records;
    std::set<InstanceId> recorded_by;
    TimePoint next_send;
    TimePoint give_up;
    /// Request that may be sent once the write reached a majority, 0 for none.
    std::uint64_t request = 0;
    bool installing = false;
    std::optional<std::pair<InstanceId, OrderTransferAck>> transfer_ack;
  };

  /// Collection from one member of an older group.
  struct MemberCollection {
    OrderId after;
    bool done = false;
    TimePoint next_send;
  };

  /// Collection from a majority of one older group.
  struct GroupCollection {
    Delegation group;
    std::map<InstanceId, MemberCollection> members;
    std::set<InstanceId> installed;
  };

  /// Change of authorities that left records behind (`AuthorityMemory`).
  struct Takeover {
    Delegation previous;
    std::int64_t wall_ms = 0;
    TimePoint until;
  };

  /// A former attempt's outcome on its way to the present authority.
  struct Forward {
    OrderId id;
    Epoch attempt;
    TimePoint next_send;
    int sends_left = 0;
  };

  struct Transfer {
    std::function<std::optional<Delegation>(std::uint64_t)> destination;
    bool started = false;
    std::map<std::uint64_t, Envelope> unacknowledged;
    TimePoint next_send;
  };

  bool IsMember() const;
  bool IsAuthority(const OrderId& id) const;
  std::size_t Majority(const Delegation& delegation) const;
  void EndFlightsOfOldDelegation(TimePoint now, Outbox& out);
  void StartCollection(TimePoint now, Outbox& out);
  void AddGroup(TimePoint now, std::size_t index);
  void SendCollects(TimePoint now, Outbox& out);
  void CheckCollection(TimePoint now, Outbox& out);
  void Install(TimePoint now, Outbox& out);
  void InstallMore(TimePoint now, Outbox& out);
  void SendInstalled(TimePoint now, Outbox& out);
  std::optional<OrderRefusal> Precondition(TimePoint now, const OrderRequest& request) const;
  bool ProvesFreshness(TimePoint now, const OrderRequest& request) const;
  bool AnswerFromRecord(const OrderRequest& request, const OrderRecord& record);
  void StartAttempt(TimePoint now, const OrderRequest& request, Outbox& out);
  std::uint64_t Write(TimePoint now, std::vector<OrderRecord> records);
  void SendWrite(TimePoint now, std::uint64_t sequence, PendingWrite& write, Outbox& out);
  void CheckWrite(TimePoint now, std::uint64_t sequence, Outbox& out);
  void AllowSend(TimePoint now, std::uint64_t request, Outbox& out);
  void Finish(TimePoint now, std::uint64_t request, OrderState state, std::uint16_t status,
              std::string answer, Outbox& out);
  void Abort(TimePoint now, std::uint64_t request, OrderRefusal reason, Outbox& out);
  void Publish(TimePoint now, const OrderRecord& record, Outbox& out);
  void RejectNow(std::uint64_t request, OrderRefusal reason, RunState run = RunState::kNo);
  void TickFlights(TimePoint now, Outbox& out);
  void TickForwards(TimePoint now, Outbox& out);
  void TickTransfer(TimePoint now, Outbox& out);
  void StartTransfer(TimePoint now);

  OrderSettings settings_;
  OrderTable table_;
  std::optional<Delegation> delegation_;
  std::vector<Delegation> earlier_;
  TimePoint permit_until_;
  bool ready_ = false;
  std::vector<GroupCollection> collections_;
  std::map<std::uint64_t, std::set<InstanceId>> installed_;  // by delegation
  TimePoint next_installed_;
  int installed_sends_ = 0;
  std::optional<std::int64_t> lost_wall_ms_;
  TimePoint lost_until_;
  std::vector<Takeover> takeovers_;
  bool installing_ = false;
  bool install_sent_all_ = false;
  std::size_t installs_in_flight_ = 0;
  OrderId install_after_;
  std::uint64_t next_counter_ = 1;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, PendingWrite> writes_;
  std::unordered_map<std::uint64_t, Flight> flights_;
  std::map<OrderId, std::uint64_t> flight_of_;
  std::vector<Forward> forwards_;
  std::optional<Transfer> transfer_;
  std::vector<OrderAction> actions_;
};

}  // namespace dogwoodport
