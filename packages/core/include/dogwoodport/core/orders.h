#pragma once

/// @file
/// Facade of the non-repeatable requests (orders). Each order runs at most once, and a caller that
/// retries it receives the stored outcome.
///
/// One instance is the authority for an order. It records the intent with a majority of the permit
/// group before it sends any byte to the target. The authorities of a new delegation collect the
/// records from a majority of the old group, whose members then refuse writes of the old
/// delegation. The two majorities have a member in common, so every intent whose request may have
/// been sent is found.

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

/// Number of order partitions of unkeyed services.
inline constexpr std::uint32_t kOrderPartitions = 256;

/// Maximum clock difference assumed between a caller that sets `Dogwood-First-Sent` and the
/// instances.
inline constexpr std::int64_t kFreshnessSkewMs = 2'000;

/// Returns the order partition of an order of an unkeyed service.
std::uint32_t OrderPartition(const OrderId& id) noexcept;

/// Returns the home of a partition among the data centres in service, by rendezvous hashing, or
/// nothing if there are none.
std::optional<DataCentreId> OrderPartitionHome(std::uint32_t partition,
                                               const std::vector<DataCentreId>& in_service);

/// Returns the authority for `id` among the members that are not witnesses, or nothing if there are
/// none.
std::optional<InstanceId> OrderAuthority(const Delegation& delegation, const OrderId& id);

/// Reason for which an order is refused.
enum class OrderRefusal : std::uint8_t {
  kConflict,      ///< the idempotency key was used with other content: 409
  kNotAuthority,  ///< another instance is the authority
  kTakeover,      ///< the records of the earlier authority are being collected
  kTransferring,  ///< the orders are being transferred to another data centre
  kNotFresh,      ///< records may be missing, and the request does not prove that it is new
  kNoPermit,      ///< the instance has no valid permit
  kTableFull,     ///< there is no memory for another order
  kDeadline,      ///< the deadline passed before the first byte was sent
  kNotSent,       ///< no target was reached, or the target did not run the order
  kBusy           ///< too many callers wait for the same order
};

/// Returns the stable code of `refusal`.
std::string_view ToString(OrderRefusal refusal) noexcept;

/// The gateway may send the request. It must call `OnFirstByte` directly before the first byte.
struct MaySend {
  std::uint64_t request = 0;
};

/// The request is refused for `reason`.
struct Reject {
  std::uint64_t request = 0;
  OrderRefusal reason = OrderRefusal::kConflict;
  RunState run = RunState::kNo;
  Duration retry_after{0};
};

/// The request receives the stored outcome of an earlier request with the same key.
struct ReplayOutcome {
  std::uint64_t request = 0;
  std::uint16_t status = 0;
  bool answer_kept = false;
  std::string answer;
};

/// The request receives "outcome unknown" with a reference that can be queried.
struct ReportUnknown {
  std::uint64_t request = 0;
};

using OrderAction = std::variant<MaySend, Reject, ReplayOutcome, ReportUnknown>;

/// A non-repeatable request at its authority.
struct OrderRequest {
  /// Identifier that is unique on this instance.
  std::uint64_t request = 0;
  OrderId id;
  BodyHash body;
  /// Shard or order partition, as a hash. Determines the destination of a transfer.
  std::uint64_t scope = 0;
  TimePoint deadline;
  /// `Dogwood-First-Sent`, Unix time in milliseconds.
  std::optional<std::int64_t> first_sent_ms;
  /// Unix time at which this data centre took over the scope without its records, if that was
  /// within kOrderWindow.
  std::optional<std::int64_t> taken_over_ms;
};

/// Policy: intents are recorded with a majority of the permit group.
struct MajorityIntents {};

/// Policy for measurements: intents are stored only by the authority.
struct AuthorityMemory {
  /// Whether orders whose authority has changed are refused for `OrderSettings::window` unless they
  /// prove that they are new.
  bool refuse_after_takeover = true;
};

using IntentPolicy = std::variant<MajorityIntents, AuthorityMemory>;

/// Settings of `Orders`.
struct OrderSettings {
  InstanceId self;
  Incarnation incarnation;
  /// Data centre of the permit group.
  DataCentreId data_centre;
  IntentPolicy policy = MajorityIntents{};
  Duration window = kOrderWindow;
  /// Memory for records. 8 MiB are sufficient for 37,000 orders without responses, which is 62 per
  /// second over kOrderWindow.
  std::size_t max_bytes = 8 << 20;
};

/// State of an order, for queries.
struct OrderStatus {
  OrderState state = OrderState::kIntent;
  bool in_progress = false;
  std::uint32_t age_ms = 0;
  std::uint16_t status = 0;
};

/// Orders of one permit group on one instance. A witness has one object for its own data centre and
/// one for the group in which it is a witness. `Tick` must be called at least every 20 ms.
///
/// @code
/// orders.Begin(now, request, out);
/// for (const OrderAction& action : orders.TakeActions()) std::visit(gateway, action);
/// @endcode
class Orders {
 public:
  explicit Orders(const OrderSettings& settings);

  /// Applies a delegation of the data centre. A delegation that is not newer than the current one
  /// is ignored. `earlier` contains its predecessors, newest first, up to the age of kOrderWindow,
  /// and at least one if there is any. `wall_ms` is the current Unix time in milliseconds.
  void OnDelegation(TimePoint now, std::int64_t wall_ms, const Delegation& delegation,
                    const std::vector<Delegation>& earlier, Outbox& out);

  /// Records that the instance holds a permit until `valid_until`.
  void OnPermit(TimePoint now, TimePoint valid_until);

  /// Records the declaration of an operator that the records of earlier delegations cannot be
  /// collected. For `OrderSettings::window`, orders are then accepted only if they prove that they
  /// are new.
  void OnRecordsLost(TimePoint now, std::int64_t wall_ms, Outbox& out);

  /// Starts a request. `TakeActions` returns its outcome, which may be available at once.
  void Begin(TimePoint now, const OrderRequest& request, Outbox& out);

  /// Must be called directly before the first byte of a request that received `MaySend`. If it
  /// returns false, no byte may be sent; the refusal of the request is among the actions.
  [[nodiscard]] bool OnFirstByte(TimePoint now, std::uint64_t request, Outbox& out);

  /// Records the response of the target. `answer` is the response, as encoded by the gateway, that
  /// a caller receives when it retries.
  void OnAnswer(TimePoint now, std::uint64_t request, std::uint16_t status, std::string answer,
                Outbox& out);

  /// Records that bytes may have been sent and no response is expected.
  void OnUnknown(TimePoint now, std::uint64_t request, Outbox& out);

  /// Records that the gateway aborted the request before the first byte.
  void OnNotSent(TimePoint now, std::uint64_t request, Outbox& out);

  /// Records the response of the target that it did not run the order. A new attempt is allowed.
  void OnNotRun(TimePoint now, std::uint64_t request, Outbox& out);

  /// Starts a planned transfer. New orders are refused. Once no order is in flight, the records are
  /// transferred to the authorities under `destination(scope)`. A record for which `destination`
  /// returns nothing remains here.
  void BeginTransfer(TimePoint now,
                     std::function<std::optional<Delegation>(std::uint64_t scope)> destination);

  /// Whether majorities of the new groups store all transferred records.
  bool transfer_done() const noexcept {
    return transfer_ && transfer_->started && transfer_->unacknowledged.empty();
  }

  /// Ends a transfer. New orders are accepted again.
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

  /// Returns the actions that the gateway must take and clears the list.
  std::vector<OrderAction> TakeActions() { return std::exchange(actions_, {}); }

  /// Returns the state of an order, or nothing if no record of it is stored.
  std::optional<OrderStatus> Query(TimePoint now, const OrderId& id) const;

  /// Whether the records of earlier delegations are installed.
  bool ready() const noexcept { return ready_; }
  const OrderTable& table() const noexcept { return table_; }

 private:
  enum class Phase : std::uint8_t { kRecording, kMaySend, kSent };

  /// A request that is in flight on this instance.
  struct Flight {
    OrderId id;
    Epoch attempt;
    Phase phase = Phase::kRecording;
    TimePoint deadline;
    /// Later requests with the same key and their deadlines.
    std::vector<std::pair<std::uint64_t, TimePoint>> waiters;
  };

  /// A write that a majority of the group has not confirmed.
  struct PendingWrite {
    std::vector<OrderRecord> records;
    std::set<InstanceId> recorded_by;
    TimePoint next_send;
    TimePoint abandon_at;
    /// Request that may be sent once a majority has confirmed the write, or 0 if there is none.
    std::uint64_t request = 0;
    bool installing = false;
    std::optional<std::pair<InstanceId, OrderTransferAck>> transfer_ack;
  };

  /// Collection of records from one member of an earlier group.
  struct MemberCollection {
    OrderId after;
    bool done = false;
    TimePoint next_send;
  };

  /// Collection of records from a majority of one earlier group.
  struct GroupCollection {
    Delegation group;
    std::map<InstanceId, MemberCollection> members;
    std::set<InstanceId> installed;
  };

  /// Change of authorities after which the earlier records are unavailable (`AuthorityMemory`).
  struct Takeover {
    Delegation previous;
    std::int64_t wall_ms = 0;
    TimePoint until;
  };

  /// Outcome of an attempt that is being reported to the current authority.
  struct Forward {
    OrderId id;
    Epoch attempt;
    TimePoint next_send;
    int sends_remaining = 0;
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
  bool RespondFromRecord(const OrderRequest& request, const OrderRecord& record);
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
