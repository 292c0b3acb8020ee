#pragma once

/// @file
/// Bounds the whole time of blocking operations on sockets, which socket time-outs do not: a peer
/// that sends one byte now and then never runs into them.

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace dogwoodport::detail {

/// Shuts sockets down at their deadline, or when the caller on whose behalf they are used has left.
/// One thread looks after all sockets every `kScanInterval`.
class SocketGuard {
 public:
  enum class Verdict { kNone, kDeadline, kCallerLeft };
  /// What is shut down; after `kReceive` an answer can still be sent.
  enum class Direction { kReceive, kBoth };

  SocketGuard();
  ~SocketGuard();
  SocketGuard(const SocketGuard&) = delete;
  SocketGuard& operator=(const SocketGuard&) = delete;

  class Watch;

 private:
  struct Entry {
    Poco::Net::StreamSocket socket;
    std::chrono::steady_clock::time_point deadline;
    /// Descriptor of the caller's connection, or -1.
    int caller_fd = -1;
    Direction direction = Direction::kBoth;
    /// May be null.
    std::shared_ptr<const std::atomic<bool>> cancelled;
    std::atomic<Verdict> verdict{Verdict::kNone};
  };

  void Run();
  void Scan();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::list<Entry> entries_;
  bool stopping_ = false;
  std::thread thread_;
};

/// Puts a socket under guard while it exists.
class SocketGuard::Watch {
 public:
  Watch(SocketGuard& guard, const Poco::Net::StreamSocket& socket,
        std::chrono::steady_clock::time_point deadline, Direction direction, int caller_fd = -1,
        std::shared_ptr<const std::atomic<bool>> cancelled = nullptr);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  Verdict verdict() const noexcept { return entry_->verdict; }

 private:
  SocketGuard& guard_;
  std::list<Entry>::iterator entry_;
};

/// Returns whether the peer of the connection `fd` has closed it. Complexity: one system call.
bool PeerHasLeft(int fd) noexcept;

}  // namespace dogwoodport::detail
