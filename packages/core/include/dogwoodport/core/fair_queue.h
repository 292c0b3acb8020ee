#pragma once

/// @file
/// Weighted fair queueing of requests by client account (deficit round robin) for an overloaded
/// service, with bounded queues and deadlines.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Bounds of a `FairQueue`.
struct FairQueueSettings {
  /// Requests of one account that wait at once.
  std::size_t max_per_account = 64;
  /// Requests of all accounts that wait at once.
  std::size_t max_total = 256;
  /// Longest wait; a longer one would mostly produce answers that come too late.
  Duration max_wait{100'000};
  /// Wait after which a refused caller should try again.
  Duration retry_after{200'000};
};

/// Why a request left the queue without being served.
enum class QueueRefusal : std::uint8_t {
  kAccountFull,  ///< the account's own queue is full
  kTotalFull,    ///< all queues together are full and this account has the most waiting for its
                 ///< weight
  kDeadline      ///< the deadline or the longest wait passed
};

/// A request that gets its refusal now; nothing was run.
struct GivenUp {
  std::uint64_t request = 0;
  QueueRefusal reason = QueueRefusal::kDeadline;
  Duration retry_after{0};
};

/// Queue of one service at one instance. Each account is served in proportion to its weight as long
/// as it has requests waiting.
///
/// @code
/// queue.SetWeight(account, 2);
/// queue.Enqueue(now, account, request, deadline);
/// if (slot_free) Forward(queue.Dequeue(now));
/// for (const GivenUp& g : queue.TakeGivenUp()) Refuse(g);
/// @endcode
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings settings) : settings_(settings) {}

  /// Sets the weight of an account; 1 if never set. Weights below 0.01 count as 0.01.
  void SetWeight(AccountId account, double weight);

  /// Queues a request. If the queues are full, the newest request of the account with the most
  /// waiting requests for its weight is given up, which may be this one. Complexity: constant on
  /// average, linear in the waiting accounts when full.
  void Enqueue(TimePoint now, AccountId account, std::uint64_t request, TimePoint deadline);

  /// Removes and returns the next request to serve. Complexity: amortized constant.
  std::optional<std::uint64_t> Dequeue(TimePoint now);

  /// Removes a request whose caller went away; returns whether it was waiting.
  bool Cancel(std::uint64_t request);

  /// Gives up requests whose deadline or longest wait passed. Complexity: linear in the waiting
  /// requests.
  void Tick(TimePoint now);

  /// Removes and returns the requests given up; each of them gets its refusal at once.
  std::vector<GivenUp> TakeGivenUp() { return std::exchange(given_up_, {}); }

  std::size_t size() const noexcept { return requests_.size(); }

 private:
  struct Entry : boost::intrusive::list_base_hook<> {
    std::uint64_t request = 0;
    AccountId account;
    TimePoint until;
  };

  struct Flow : boost::intrusive::list_base_hook<> {
    AccountId account;
    double weight = 1;
    double deficit = 0;
    std::size_t count = 0;
    boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>> entries;
  };

  Flow& FlowOf(AccountId account);
  void Remove(Flow& flow, Entry& entry);
  void GiveUp(Flow& flow, Entry& entry, QueueRefusal reason);
  Flow& Longest();

  FairQueueSettings settings_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> requests_;
  std::unordered_map<AccountId, std::unique_ptr<Flow>> flows_;
  boost::intrusive::list<Flow> active_;
  std::vector<GivenUp> given_up_;
};

}  // namespace dogwoodport
