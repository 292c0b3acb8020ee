#include "dogwoodport/fleet/overload/waiting_queue.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Number of requests that may wait regardless of the completion rate, which is unknown after a
/// start.
constexpr std::size_t kMinQueueLength = 2;
/// Limits of the retry time given to a refused caller.
constexpr Duration kMinRetryAfter{100'000};
constexpr Duration kMaxRetryAfter{1'500'000};
/// Maximum random increase of the retry time, as a fraction.
constexpr double kMaxSpread = 0.5;

}  // namespace

std::optional<Duration> DecideRefusal(const QueueState& state, Duration max_wait, double random) {
  if (max_wait <= Duration{0}) return RetryAfter(state, random);
  if (state.ahead < kMinQueueLength) return std::nullopt;
  const double expected =
      static_cast<double>(state.ahead + 1) / std::max(1.0, state.completions_per_s);
  if (FromSeconds(expected) <= max_wait) return std::nullopt;
  return RetryAfter(state, random);
}

Duration RetryAfter(const QueueState& state, double random) {
  const double expected =
      static_cast<double>(state.ahead + 1) / std::max(1.0, state.completions_per_s);
  return std::clamp(FromSeconds(expected * (1 + kMaxSpread * random)) +
                        FromSeconds(random * Seconds(kMinRetryAfter)),
                    kMinRetryAfter, kMaxRetryAfter);
}

void WaitingQueue::Push(Waiter& waiter) {
  auto it = waiters_.end();
  while (it != waiters_.begin()) {
    const auto before = std::prev(it);
    if (before->priority <= waiter.priority) break;
    it = before;
  }
  waiters_.insert(it, waiter);
}

std::size_t WaitingQueue::CountAhead(int priority) const {
  return static_cast<std::size_t>(std::count_if(
      waiters_.begin(), waiters_.end(), [&](const Waiter& it) { return it.priority <= priority; }));
}

std::size_t WaitingQueue::size() const { return waiters_.size(); }

void WaitingQueue::DispatchInOrder(const std::function<bool(Waiter&)>& dispatch,
                                   std::size_t max_misses) {
  std::size_t misses = 0;
  for (auto it = waiters_.begin(); it != waiters_.end() && misses < max_misses;) {
    Waiter& waiter = *it;
    const auto next = std::next(it);
    if (!dispatch(waiter)) ++misses;
    it = next;
  }
}

}  // namespace dogwoodport::fleet
