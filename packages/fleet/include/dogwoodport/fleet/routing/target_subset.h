#pragma once

/// @file
/// Selects the subset of a large service's targets that an instance prefers.
///
/// In a large fleet, each instance sends only a few requests per second. If they were spread over
/// all targets, nearly every request would need a new connection, and observations of a target
/// would be outdated by the next request to it.

#include <string>
#include <vector>

namespace dogwoodport::fleet {

/// A target that may be selected.
struct SubsetCandidate {
  std::string id;
  bool same_data_centre = true;
};

struct SubsetSettings {
  /// Maximum number of targets for which an instance uses all of them.
  std::size_t max_targets_without_subset = 24;
  /// Number of targets in the same data centre and in others. The remote ones receive the requests
  /// that exceed the capacity of the near ones, on connections that are already open.
  std::size_t near_targets = 10;
  std::size_t far_targets = 4;
};

/// Returns the indices of the targets that the instance `self` prefers, in ascending order. Uses
/// rendezvous hashing of instance and target: each instance gets a different subset, all targets
/// are used about equally, and adding or removing a target does not affect the other choices.
/// Complexity: n log n.
std::vector<std::size_t> ChooseSubset(const std::vector<SubsetCandidate>& candidates,
                                      const std::string& self, const SubsetSettings& settings);

}  // namespace dogwoodport::fleet
