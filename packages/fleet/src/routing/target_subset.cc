#include "dogwoodport/fleet/routing/target_subset.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"

namespace dogwoodport::fleet {

std::vector<std::size_t> ChooseSubset(const std::vector<SubsetCandidate>& candidates,
                                      const std::string& self, const SubsetSettings& settings) {
  std::vector<std::size_t> result(candidates.size());
  std::iota(result.begin(), result.end(), 0);
  if (candidates.size() <= settings.max_targets_without_subset) return result;
  using Ranked = std::pair<std::uint64_t, std::size_t>;
  std::vector<Ranked> near;
  std::vector<Ranked> far;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t rank = detail::HashOf(candidates[i].id + "|" + self);
    (candidates[i].same_data_centre ? near : far).emplace_back(rank, i);
  }
  result.clear();
  const auto add = [&result](std::vector<Ranked>& ranked, std::size_t n) {
    std::sort(ranked.rbegin(), ranked.rend());
    n = std::min(n, ranked.size());
    for (std::size_t i = 0; i < n; ++i) result.push_back(ranked[i].second);
    return n;
  };
  // If the own data centre has too few targets, targets in other data centres replace them.
  const std::size_t added = add(near, settings.near_targets);
  add(far, settings.far_targets + settings.near_targets - added);
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace dogwoodport::fleet
