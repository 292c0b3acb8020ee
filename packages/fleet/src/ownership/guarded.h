#pragma once

/// @file
/// Callbacks that may outlive the coordinator's role. Private to the sources of the coordinator.

#include <cstdint>
#include <memory>
#include <utility>

namespace dogwoodport::fleet {

/// Wraps a callback so that it does nothing after the object is destroyed or its term has changed.
template <typename Callback>
auto Guarded(const std::shared_ptr<bool>& alive, const std::uint64_t& term, Callback callback) {
  return [weak = std::weak_ptr<bool>(alive), expected_term = term, &term,
          callback = std::move(callback)](auto&&... args) {
    if (weak.expired() || term != expected_term) return;
    callback(std::forward<decltype(args)>(args)...);
  };
}

}  // namespace dogwoodport::fleet
