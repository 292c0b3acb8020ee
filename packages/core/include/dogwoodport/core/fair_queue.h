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
  /// Maximum number of waiting requests of one account.
  std::size_t max_per_account = 64;
  /// Maximum number of waiting requests of all accounts together.
  std::size_t max_total = 256;
  /// Maximum wait. After a longer one, most responses would arrive too late to be useful.
  Duration max_wait{100'000};
  /// Time after which a refused caller should retry.
  Duration retry_after{200'000};
};

/// Reason for which a request is dropped from the queue.
enum class QueueRefusal : std::uint8_t {
  kAccountFull,  ///< the account has `max_per_account` requests waiting
  kTotalFull,    ///< `max_total` requests are waiting, and the account has the most of them in
                 ///< proportion to its weight
  kDeadline      ///< the request's deadline or `max_wait` has passed
};

/// A request dropped from the queue. It has not run, and its caller must be refused.
struct DroppedRequest {
  std::uint64_t request = 0;
  QueueRefusal reason = QueueRefusal::kDeadline;
  Duration retry_after{0};
};

/// Queue for one service on one instance. Accounts with waiting requests are served in proportion
/// to their weights.
///
/// @code
/// queue.SetWeight(account, 2);
/// queue.Enqueue(now, account, request, deadline);
/// if (slot_free) Forward(queue.Dequeue(now));
/// for (const DroppedRequest& dropped : queue.TakeDropped()) Refuse(dropped);
/// @endcode
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings settings) : settings_(settings) {}

  /// Sets the weight of an account, which is 1 by default. The minimum is 0.01.
  void SetWeight(AccountId account, double weight);

  /// Queues a request. If this exceeds `max_total`, drops the newest request of the account that
  /// has the most waiting requests in proportion to its weight, which may be this request. If the
  /// account already has `max_per_account` requests waiting, drops this request. Complexity:
  /// constant on average; linear in the accounts with waiting requests if the queue is full.
  void Enqueue(TimePoint now, AccountId account, std::uint64_t request, TimePoint deadline);

  /// Removes and returns the next request to serve. Complexity: amortized constant.
  std::optional<std::uint64_t> Dequeue(TimePoint now);

  /// Removes a request whose caller has disconnected. Returns whether the request was waiting.
  bool Cancel(std::uint64_t request);

  /// Drops requests whose deadline or maximum wait has passed. Complexity: linear in the waiting
  /// requests.
  void Tick(TimePoint now);

  /// Returns the dropped requests, which must be refused at once, and clears the list.
  std::vector<DroppedRequest> TakeDropped() { return std::exchange(dropped_, {}); }

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
  void Drop(Flow& flow, Entry& entry, QueueRefusal reason);
  Flow& LongestFlow();

  FairQueueSettings settings_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> requests_;
  std::unordered_map<AccountId, std::unique_ptr<Flow>> flows_;
  boost::intrusive::list<Flow> active_;
  std::vector<DroppedRequest> dropped_;
};

}  // namespace dogwoodport
