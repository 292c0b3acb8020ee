#pragma once

/// @file
/// Queue of the requests of a service that wait for a target, with admission control.
///
/// Handles short periods of load above the capacity of the service. Requests that can still be
/// served within their latency objective wait in order of priority. All others are refused
/// immediately.

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <optional>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// A waiting request. The owner of the request keeps it alive and removes it with `unlink`.
struct Waiter
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /// 0 is the highest priority.
  int priority = 0;
  TimePoint arrived_at{};
  /// Latest time to send the request to a target. The response to a later one would be too late.
  TimePoint dispatch_deadline{};
};

/// State of the queue when a request finds no available target.
struct QueueState {
  /// Number of waiting requests that would be served first.
  std::size_t ahead = 0;
  /// Rate at which this instance completes requests of the service.
  double completions_per_s = 0;
};

/// Returns nothing if a request should wait for a target. Otherwise returns the time after which
/// the caller should retry. `max_wait` is the maximum wait that leaves enough time for the
/// response. `random` in [0, 1) spreads the retries.
std::optional<Duration> DecideRefusal(const QueueState& state, Duration max_wait, double random);

/// Returns the time after which the caller of a refused request should retry. By then, the requests
/// ahead should have been served. `random` in [0, 1) spreads the retries over time.
Duration RetryAfter(const QueueState& state, double random);

/// Waiting requests, ordered by priority and then by arrival.
class WaitingQueue {
 public:
  void Push(Waiter& waiter);
  /// Returns the number of requests that would be served before a new one with `priority`.
  std::size_t CountAhead(int priority) const;
  bool empty() const noexcept { return waiters_.empty(); }
  std::size_t size() const;
  template <typename Predicate>
  std::size_t CountIf(const Predicate& predicate) const {
    return static_cast<std::size_t>(std::count_if(waiters_.begin(), waiters_.end(), predicate));
  }
  template <typename Function>
  void ForEach(const Function& function) const {
    for (const Waiter& it : waiters_) function(it);
  }

  /// Calls `dispatch` for the waiting requests in order. `dispatch` sends the request and returns
  /// true, or returns false (a miss) if no target is available. After a miss, later requests are
  /// still tried, because they may need other targets. Stops after `max_misses` misses.
  void DispatchInOrder(const std::function<bool(Waiter&)>& dispatch, std::size_t max_misses);

 private:
  boost::intrusive::list<Waiter, boost::intrusive::constant_time_size<false>> waiters_;
};

}  // namespace dogwoodport::fleet
