#pragma once

/// @file
/// Chooses the few targets of a large service that an instance uses first.
///
/// Answers the load of a large fleet, where an instance sends few requests a second: spread over
/// all targets, nearly each would need a new connection, and what the instance has learned of a
/// target would be old when it comes to it again.

#include <string>
#include <vector>

namespace dogwoodport::fleet {

/// What the choice looks at.
struct SubsetCandidate {
  std::string id;
  bool same_data_centre = true;
};

struct SubsetSettings {
  /// Targets of a service up to which an instance uses all of them.
  std::size_t max_targets_without_subset = 24;
  /// Targets in the own data centre and elsewhere. The latter take what the former have no room
  /// for, with connections that are open already.
  std::size_t near_targets = 10;
  std::size_t far_targets = 4;
};

/// Returns the indices of the targets that the instance `self` uses first, in ascending order. Each
/// instance has another subset, by the highest hashes of instance and target, so that all targets
/// are used about equally, and a target that comes or goes changes no other choice. Complexity:
/// n log n.
std::vector<std::size_t> ChooseSubset(const std::vector<SubsetCandidate>& candidates,
                                      const std::string& self, const SubsetSettings& settings);

}  // namespace dogwoodport::fleet
