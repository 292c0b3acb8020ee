#include "dogwoodport/fleet/overload/waiting_queue.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Requests that may wait whatever the completion rate, which is unknown after a start.
constexpr std::size_t kAlwaysWait = 2;
/// Bounds of the time that a refused caller is told to wait.
constexpr Duration kShortestRetry{100'000};
constexpr Duration kLongestRetry{1'500'000};
/// Largest random addition, relative to the wait itself.
constexpr double kSpread = 0.5;

}  // namespace

std::optional<Duration> DecideRefusal(const QueueState& state, Duration useful_wait,
                                      double random) {
  if (useful_wait <= Duration{0}) return RetryAfter(state, random);
  if (state.ahead < kAlwaysWait) return std::nullopt;
  const double expected =
      static_cast<double>(state.ahead + 1) / std::max(1.0, state.completions_per_s);
  if (FromSeconds(expected) <= useful_wait) return std::nullopt;
  return RetryAfter(state, random);
}

Duration RetryAfter(const QueueState& state, double random) {
  const double expected =
      static_cast<double>(state.ahead + 1) / std::max(1.0, state.completions_per_s);
  return std::clamp(FromSeconds(expected * (1 + kSpread * random)) +
                        FromSeconds(random * Seconds(kShortestRetry)),
                    kShortestRetry, kLongestRetry);
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

std::size_t WaitingQueue::Ahead(int priority) const {
  return static_cast<std::size_t>(std::count_if(
      waiters_.begin(), waiters_.end(), [&](const Waiter& it) { return it.priority <= priority; }));
}

std::size_t WaitingQueue::size() const { return waiters_.size(); }

void WaitingQueue::Offer(const std::function<bool(Waiter&)>& offer, std::size_t most_misses) {
  std::size_t misses = 0;
  for (auto it = waiters_.begin(); it != waiters_.end() && misses < most_misses;) {
    Waiter& waiter = *it;
    const auto next = std::next(it);
    if (!offer(waiter)) ++misses;
    it = next;
  }
}

}  // namespace dogwoodport::fleet
