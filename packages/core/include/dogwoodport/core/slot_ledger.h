#pragma once

/// @file
/// Division of the slots and connections of targets over the instances of their data centre.
///
/// Each unit of a target belongs to one member of the delegation. A member with demand borrows
/// units of others. Lost messages waste units for a bounded time but never create any, so the sum
/// over the instances never exceeds what the target has.

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/message.h"

namespace dogwoodport {

/// Clock drift between two instances that a lender allows for.
inline constexpr double kClockDrift = 1.01;

/// Whether a delegation is the first of its data centre, so that no instance can hold units under
/// an earlier one.
enum class DelegationHistory { kFirst, kReplacesEarlier };

/// Identity of the holder and time bounds of a ledger.
struct SlotLedgerSettings {
  InstanceId self;
  Incarnation incarnation;
  /// Longest time that a unit is held by one attempt. A loan lasts half as long again, and takes
  /// new attempts only while their whole time is left.
  Duration max_hold{5'000'000};
  /// Time after which an instance that missed a delegation has lost its permit (design, section 4).
  Duration permit_duration{1'500'000};
  /// An idle loan is returned after this time; about ten requests of 10 ms, so that loans do not
  /// travel back and forth under steady demand.
  Duration idle_return{100'000};
  /// A lender that hears nothing of a loan for this time sends it again.
  Duration query_interval{500'000};
};

/// A unit that an attempt or a connection holds.
struct SlotHold {
  /// Number of the loan, or 0 for an own unit.
  std::uint64_t loan = 0;
  InstanceId lender;
  /// The holder must have released the unit by then.
  TimePoint until;
};

/// One run of the ledger; a restarted instance has a new one.
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

  /// Adds the units of a target, or changes their number, and returns the row. Complexity:
  /// constant.
  /// @note A larger `total` is used at once; a smaller one when the running work has ended.
  std::size_t AddRow(TargetId target, Resource resource, std::uint32_t total);

  /// Divides the units by `delegation`. Until every attempt under an earlier delegation must have
  /// ended, this instance uses the smaller of its shares. Called when a majority of the old group
  /// follows the delegation. Complexity: rows times members.
  void OnDelegation(TimePoint now, const Delegation& delegation, DelegationHistory history);

  /// Own units may be taken and lent only until `until`.
  void SetPermit(TimePoint until) noexcept { permit_until_ = until; }

  /// Drops loans, for an instance that noticed that it was paused; running attempts keep theirs.
  void OnPause(TimePoint now);

  /// Takes one unit of the first `limit` of the row's, own ones first. Constant without loans.
  std::optional<SlotHold> Acquire(TimePoint now, std::size_t row, std::uint32_t limit);

  /// Gives back a unit. A second release of the same loan has no effect.
  void Release(TimePoint now, std::size_t row, const SlotHold& hold);

  /// Returns how many units of the first `limit` can be taken now. Constant without loans.
  std::uint32_t Free(TimePoint now, std::size_t row, std::uint32_t limit) const noexcept;

  /// Returns this instance's share of the first `limit` units. Complexity: constant.
  std::uint32_t Share(TimePoint now, std::size_t row, std::uint32_t limit) const noexcept;

  /// Asks the next member for a unit of `row`, or of any target of its service. At most once per
  /// 2 ms and row.
  void Borrow(TimePoint now, std::size_t row, bool any_of_service, Outbox& out);

  /// A row from which a request may be met, and how many of its units are in use at all.
  struct Candidate {
    std::size_t row = 0;
    std::uint32_t limit = 0;
  };

  /// Lends a unit of the first candidate that has one free. Otherwise passes the request on: to the
  /// lender of an idle loan, which is returned, or to the next member, up to the number of members.
  void OnRequest(TimePoint now, InstanceId from, const SlotRequest& request,
                 std::span<const Candidate> candidates, Outbox& out);
  void OnLoan(TimePoint now, InstanceId from, const SlotLoan& loan, Outbox& out);
  void OnReturn(InstanceId from, const SlotReturn& message);

  /// Returns idle loans, forgets expired ones and queries outstanding ones.
  void Tick(TimePoint now, Outbox& out);

  /// Returns the row of a target's resource, if any. Complexity: constant.
  std::optional<std::size_t> FindRow(TargetId target, Resource resource) const;

  /// Units that attempts of this instance hold now, own and borrowed ones.
  std::uint32_t InUse(std::size_t row) const noexcept;

  /// Units that this instance uses, could use or has lent: what a test sums over the instances.
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
  /// A request of this instance that may still be answered.
  struct Pending {
    std::uint64_t sequence = 0;
    TimePoint requested;
  };
  /// Membership under one delegation, which bounds the share until `until`.
  struct Division {
    std::vector<InstanceId> members;
    bool self_is_member = false;
    TimePoint until;
    /// This instance's place among the members, by row.
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
  /// The division in force is the last one.
  std::vector<Division> divisions_;
  std::uint64_t delegation_ = 0;
  TimePoint permit_until_ = TimePoint::max();
  std::uint64_t next_sequence_ = 1;
  /// The latest requests, by sequence modulo the size.
  std::array<Pending, 256> pending_{};
  std::uint64_t next_loan_ = 1;
  /// Rows with a loan in either direction; the others need no work each tick.
  std::vector<std::size_t> active_;
  /// Highest loan number seen of each lender's incarnation.
  std::unordered_map<InstanceId, std::pair<Incarnation, std::uint64_t>> seen_;
};

}  // namespace dogwoodport
