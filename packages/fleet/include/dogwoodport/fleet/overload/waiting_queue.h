#pragma once

/// @file
/// Requests of one service that wait for a target, and the decision whether one should wait at all.
///
/// Answers a load above the service's capacity for a short time: what can still be answered within
/// its objective waits, the most urgent first; everything else is refused at once.

#include <boost/intrusive/list.hpp>
#include <functional>
#include <optional>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// A request that waits. The owner of the request keeps it alive and removes it by `unlink`.
struct Waiter
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /// 0 is the most urgent.
  int priority = 0;
  TimePoint arrived_at{};
  /// Moment from which an answer could not arrive in time any more.
  TimePoint dispatch_deadline{};
};

/// What is known when a request finds no free target.
struct QueueState {
  /// Waiting requests that would be served before it.
  std::size_t ahead = 0;
  /// Requests of the service that this instance completes, per second.
  double completions_per_s = 0;
};

/// Returns nothing if a request should wait for a target, or else when its caller should come back.
/// `max_wait` is the longest wait that still leaves time for the answer; `random` in [0, 1)
/// spreads the returns.
std::optional<Duration> DecideRefusal(const QueueState& state, Duration max_wait, double random);

/// When the caller of a refused request should come back: when the queue ahead will have been
/// served, spread so that the refused ones do not return together.
Duration RetryAfter(const QueueState& state, double random);

/// Waiting requests in the order of urgency, then of arrival.
class WaitingQueue {
 public:
  void Push(Waiter& waiter);
  /// Requests that would be served before one with `priority` that arrives now.
  std::size_t CountAhead(int priority) const;
  bool empty() const noexcept { return waiters_.empty(); }
  std::size_t size() const;

  /// Offers the waiting requests, most urgent first. `dispatch` sends the request and returns true,
  /// or returns false if there is no target for it; then the later ones are still tried, as they
  /// may need other targets, until `max_misses` offers have failed.
  void DispatchInOrder(const std::function<bool(Waiter&)>& dispatch, std::size_t max_misses);

 private:
  boost::intrusive::list<Waiter, boost::intrusive::constant_time_size<false>> waiters_;
};

}  // namespace dogwoodport::fleet
