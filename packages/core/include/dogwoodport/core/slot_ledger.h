#pragma once

/// @file
/// Divides the slots and connections of targets among the instances of their data centre.
///
/// Each unit (slot or connection) of a target belongs to one member of the delegation. Members that
/// need more units borrow them from other members. Lost messages make units unusable for a bounded
/// time but never duplicate them, so all instances together never use more units than the target
/// has.

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/message.h"

namespace dogwoodport {

/// Factor by which a lender extends durations to allow for clock drift between instances.
inline constexpr double kClockDrift = 1.01;

/// Whether a delegation is the first of its data centre. If so, no instance can hold units under an
/// earlier one.
enum class DelegationHistory { kFirst, kReplacesEarlier };

/// Identity of the instance and durations of a ledger.
struct SlotLedgerSettings {
  InstanceId self;
  Incarnation incarnation;
  /// Maximum time for which one attempt holds a unit. A loan lasts 1.5 times as long, and accepts a
  /// new attempt only while at least this time remains.
  Duration max_hold{5'000'000};
  /// Time after which the permit of an instance that missed a delegation has expired (design,
  /// section 4).
  Duration permit_duration{1'500'000};
  /// Time after which an idle loan is returned: about ten requests of 10 ms, so that loans are not
  /// passed back and forth under steady demand.
  Duration idle_return{100'000};
  /// Interval at which a lender resends a loan that has not been returned. A borrower that no
  /// longer has the loan responds by returning it again.
  Duration query_interval{500'000};
};

/// A unit that an attempt or a connection holds.
struct SlotHold {
  /// Number of the loan, or 0 for a unit of this instance.
  std::uint64_t loan = 0;
  InstanceId lender;
  /// Time by which the holder must release the unit.
  TimePoint until;
};

/// Ledger of one run of an instance. A restarted instance starts with a new one.
///
/// @code
/// SlotLedger ledger({.self = self, .incarnation = incarnation});
/// const std::size_t row = ledger.AddRow(target, Resource::kSlot, 6);
/// ledger.OnDelegation(now, delegation, DelegationHistory::kFirst);
/// if (const auto hold = ledger.Acquire(now, row, 6)) ledger.Release(now, row, *hold);
/// @endcode
class SlotLedger {
 public:
  explicit SlotLedger(SlotLedgerSettings settings) : settings_(settings) {}

  /// Adds the units of a target or changes their number, and returns the index of the row.
  /// Complexity: constant.
  /// @note A larger `total` takes effect at once, a smaller one as running attempts end.
  std::size_t AddRow(TargetId target, Resource resource, std::uint32_t total);

  /// Divides the units among the members of `delegation`. Until all attempts under earlier
  /// delegations must have ended, this instance uses the smallest of its shares. Must be called
  /// after a majority of the old group follows the delegation. Complexity: rows times members.
  void OnDelegation(TimePoint now, const Delegation& delegation, DelegationHistory history);

  /// Sets the time until which this instance may use and lend its own units.
  void SetPermit(TimePoint until) noexcept { permit_until_ = until; }

  /// Drops idle borrowed units. Must be called after the instance detects that it was paused.
  /// Running attempts keep their units.
  void OnPause(TimePoint now);

  /// Takes one of the first `limit` units of the row, preferring units of this instance over
  /// borrowed ones. Complexity: linear in the loans of the row.
  std::optional<SlotHold> Acquire(TimePoint now, std::size_t row, std::uint32_t limit);

  /// Releases a unit. Releasing the same loan twice has no effect.
  void Release(TimePoint now, std::size_t row, const SlotHold& hold);

  /// Returns the number of units among the first `limit` that can be taken now. Complexity: linear
  /// in the loans of the row.
  std::uint32_t Free(TimePoint now, std::size_t row, std::uint32_t limit) const noexcept;

  /// Returns this instance's share of the first `limit` units. Complexity: constant.
  std::uint32_t Share(TimePoint now, std::size_t row, std::uint32_t limit) const noexcept;

  /// Requests a unit of `row`, or of any target of its service, from the next member. Sends at most
  /// one request per row every 2 ms.
  void Borrow(TimePoint now, std::size_t row, bool any_of_service, Outbox& out);

  /// A row from which a request may be served, and the number of its units that may be used.
  struct Candidate {
    std::size_t row = 0;
    std::uint32_t limit = 0;
  };

  /// Lends a unit of the first candidate that has a free one. Otherwise, if a loan is idle, returns
  /// it and forwards the request to its lender. Otherwise forwards the request to the next member;
  /// the number of forwards is limited by the number of members and by a fixed maximum.
  void OnRequest(TimePoint now, InstanceId from, const SlotRequest& request,
                 std::span<const Candidate> candidates, Outbox& out);
  void OnLoan(TimePoint now, InstanceId from, const SlotLoan& loan, Outbox& out);
  void OnReturn(InstanceId from, const SlotReturn& message);

  /// Returns idle loans, removes expired ones and resends outstanding ones.
  void Tick(TimePoint now, Outbox& out);

  /// Returns the index of the row of a target's resource, if any. Complexity: constant.
  std::optional<std::size_t> FindRow(TargetId target, Resource resource) const;

  /// Returns the number of own and borrowed units that attempts of this instance hold.
  std::uint32_t InUse(std::size_t row) const noexcept;

  /// Returns the number of units that attempts of this instance hold or could take now. The sum
  /// over all instances must not exceed the units of the target.
  std::uint32_t Claimed(TimePoint now, std::size_t row) const noexcept;

 private:
  struct LoanOut {
    InstanceId borrower;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;
    TimePoint expires;
    TimePoint next_query;
  };
  struct LoanIn {
    InstanceId lender;
    Incarnation incarnation;
    std::uint64_t number = 0;
    TimePoint expires;
    bool busy = false;
    TimePoint idle_since;
  };
  struct Row {
    TargetId target;
    Resource resource = Resource::kSlot;
    std::uint32_t total = 0;
    std::uint32_t own_in_use = 0;
    std::vector<LoanOut> out;
    std::vector<LoanIn> in;
    TimePoint next_borrow;
    std::size_t next_peer = 0;
  };
  /// A request of this instance whose response is outstanding.
  struct Pending {
    std::uint64_t sequence = 0;
    TimePoint requested;
  };
  /// Members of one delegation, which limits the share of this instance until `until`.
  struct Division {
    std::vector<InstanceId> members;
    bool self_is_member = false;
    TimePoint until;
    /// Rank of this instance among the members, by row.
    std::vector<std::uint32_t> ranks;
  };

  void AddRank(Division& division, TargetId target) const;
  std::uint32_t ShareUnder(const Division& division, std::size_t row,
                           std::uint32_t limit) const noexcept;
  std::uint32_t OwnFree(TimePoint now, const Row& row, std::uint32_t limit) const noexcept;
  bool ReturnIdle(TimePoint now, InstanceId borrower, Row& row, const SlotRequest& request,
                  Outbox& out);
  void PassOn(InstanceId borrower, const SlotRequest& request, Outbox& out) const;
  bool Lend(TimePoint now, InstanceId borrower, std::size_t row, const SlotRequest& request,
            std::uint32_t limit, Outbox& out);
  Duration LoanDuration() const noexcept { return settings_.max_hold + settings_.max_hold / 2; }
  bool Startable(TimePoint now, const LoanIn& loan) const noexcept {
    return !loan.busy && now + settings_.max_hold <= loan.expires;
  }
  void SendReturn(const Row& row, InstanceId lender, Incarnation incarnation, std::uint64_t number,
                  Outbox& out) const;
  void TickRow(TimePoint now, Row& row, Outbox& out);

  SlotLedgerSettings settings_;
  std::vector<Row> rows_;
  std::unordered_map<TargetId, std::array<std::size_t, 2>> index_;
  /// Current division, preceded by those that still limit the share.
  std::vector<Division> divisions_;
  std::uint64_t delegation_ = 0;
  TimePoint permit_until_ = TimePoint::max();
  std::uint64_t next_sequence_ = 1;
  /// Latest requests, indexed by their sequence modulo the size.
  std::array<Pending, 256> pending_{};
  std::uint64_t next_loan_ = 1;
  /// Rows with lent or borrowed units; `Tick` skips all others.
  std::vector<std::size_t> active_;
  /// Latest incarnation of each lender and the highest loan number received from it.
  std::unordered_map<InstanceId, std::pair<Incarnation, std::uint64_t>> latest_loans_;
};

}  // namespace dogwoodport
