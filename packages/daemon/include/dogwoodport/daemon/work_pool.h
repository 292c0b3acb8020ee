#pragma once

/// @file
/// Fixed number of threads that run blocking calls.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dogwoodport {

/// Runs tasks in the order of their arrival. The destructor finishes running tasks and drops the
/// others.
///
/// @code
/// WorkPool pool(4, 256);
/// if (!pool.Post([&] { Probe(target); })) CountDropped();
/// @endcode
class WorkPool {
 public:
  /// Keeps at most `max_queued` tasks waiting.
  WorkPool(std::size_t threads, std::size_t max_queued);
  ~WorkPool();
  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  /// Returns false when the queue is full; the task is dropped then. A task must not throw.
  bool Post(std::function<void()> task);

  /// Drops waiting tasks and returns when no task runs.
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
