#pragma once

/// @file
/// Bounds the memory that the bodies of messages take over all connections together.

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>

namespace dogwoodport::net {

/// Memory shared by the bodies of many messages. Belongs to one thread.
class BodyBudget : public boost::intrusive_ref_counter<BodyBudget, boost::thread_unsafe_counter> {
 public:
  /// A fifth of the memory of the smallest instances, which have 160 MB.
  static constexpr std::size_t kDefaultBytes = 32UL << 20;

  explicit BodyBudget(std::size_t bytes = kDefaultBytes) noexcept : bytes_(bytes) {}

  /// Bytes that one body may take, so that one that never ends does not keep all others out.
  std::size_t max_body_bytes() const noexcept { return bytes_ / kMinConcurrentBodies; }
  std::size_t used() const noexcept { return used_; }

 private:
  friend class BodyLease;
  static constexpr std::size_t kMinConcurrentBodies = 4;

  std::size_t bytes_;
  std::size_t used_ = 0;
};

using BodyBudgetPtr = boost::intrusive_ptr<BodyBudget>;

/// Part of a budget that one body has; given back when its last copy ends.
///
/// @code
/// const BodyLeasePtr lease(new BodyLease(budget));
/// if (!lease->Grow(body.size() + n)) Refuse();
/// @endcode
class BodyLease : public boost::intrusive_ref_counter<BodyLease, boost::thread_unsafe_counter> {
 public:
  explicit BodyLease(BodyBudgetPtr budget) noexcept : budget_(std::move(budget)) {}
  ~BodyLease() { budget_->used_ -= bytes_; }
  BodyLease(const BodyLease&) = delete;
  BodyLease& operator=(const BodyLease&) = delete;

  /// Extends the lease to `bytes`; returns false, and leaves it as it is, if there is no room.
  bool Grow(std::size_t bytes) noexcept {
    if (bytes <= bytes_) return true;
    const std::size_t extra = bytes - bytes_;
    if (bytes > budget_->max_body_bytes() || budget_->used_ + extra > budget_->bytes_) return false;
    budget_->used_ += extra;
    bytes_ = bytes;
    return true;
  }

 private:
  BodyBudgetPtr budget_;
  std::size_t bytes_ = 0;
};

using BodyLeasePtr = boost::intrusive_ptr<BodyLease>;

}  // namespace dogwoodport::net
