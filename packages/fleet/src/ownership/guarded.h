#pragma once

/// @file
/// Callbacks that outlive a role; private to the coordinator's sources.

#include <cstdint>
#include <memory>
#include <utility>

namespace dogwoodport::fleet {

/// Makes a callback that does nothing once the object has ended or changed its role.
template <typename Callback>
auto Guarded(const std::shared_ptr<bool>& alive, const std::uint64_t& term, Callback callback) {
  return [weak = std::weak_ptr<bool>(alive), expected_term = term, &term,
          callback = std::move(callback)](auto&&... args) {
    if (weak.expired() || term != expected_term) return;
    callback(std::forward<decltype(args)>(args)...);
  };
}

}  // namespace dogwoodport::fleet
