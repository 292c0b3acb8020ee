#pragma once

/// @file
/// Limits the total memory that message bodies occupy across all connections.

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>

namespace dogwoodport::net {

/// Memory budget shared by the bodies of many messages. Used from a single thread.
class BodyBudget : public boost::intrusive_ref_counter<BodyBudget, boost::thread_unsafe_counter> {
 public:
  /// One fifth of the memory of the smallest supported instance (160 MB).
  static constexpr std::size_t kDefaultBytes = 32UL << 20;

  explicit BodyBudget(std::size_t bytes = kDefaultBytes) noexcept : bytes_(bytes) {}

  /// Maximum size of a single body. It is below the whole budget, so that one endless body cannot
  /// starve all others.
  std::size_t max_body_bytes() const noexcept { return bytes_ / kMinConcurrentBodies; }
  std::size_t used() const noexcept { return used_; }

 private:
  friend class BodyLease;
  static constexpr std::size_t kMinConcurrentBodies = 4;

  std::size_t bytes_;
  std::size_t used_ = 0;
};

using BodyBudgetPtr = boost::intrusive_ptr<BodyBudget>;

/// The share of a budget that one body has reserved. The destructor returns it.
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

  /// Extends the reservation to `bytes` in total. Returns false and leaves it unchanged if the
  /// budget or the limit for a single body does not allow it.
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
