#include "dogwoodport/daemon/work_pool.h"

namespace dogwoodport {

WorkPool::WorkPool(std::size_t threads, std::size_t max_queued) : max_queued_(max_queued) {
  for (std::size_t i = 0; i < threads; ++i) threads_.emplace_back([this] { Run(); });
}

WorkPool::~WorkPool() { Stop(); }

void WorkPool::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    tasks_.clear();
  }
  wakeup_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

bool WorkPool::Post(std::function<void()> task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_ || tasks_.size() >= max_queued_) return false;
    tasks_.push_back(std::move(task));
  }
  wakeup_.notify_one();
  return true;
}

void WorkPool::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    wakeup_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    if (stopping_) return;
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace dogwoodport
