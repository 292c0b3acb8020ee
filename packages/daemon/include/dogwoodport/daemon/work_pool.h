#pragma once

/// @file
/// Thread pool of fixed size for blocking calls.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dogwoodport {

/// Starts tasks in FIFO order. The destructor waits for running tasks and discards queued ones.
///
/// @code
/// WorkPool pool(4, 256);
/// if (!pool.Post([&] { Probe(target); })) CountDropped();
/// @endcode
class WorkPool {
 public:
  /// The queue holds at most `max_queued` tasks.
  WorkPool(std::size_t threads, std::size_t max_queued);
  ~WorkPool();
  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  /// Queues a task, which must not throw. Returns false and discards it if the queue is full or the
  /// pool is stopped.
  bool Post(std::function<void()> task);

  /// Discards queued tasks and waits for running ones to finish.
  void Stop();

 private:
  void Run();

  std::size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dogwoodport
