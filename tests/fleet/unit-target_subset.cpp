#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dogwoodport/fleet/routing/target_subset.h"

namespace dogwoodport::fleet {
namespace {

constexpr std::size_t kDataCentres = 6;

/// Returns targets spread over all data centres. `own` is the data centre of the instance.
std::vector<SubsetCandidate> Targets(std::size_t n, std::size_t own) {
  std::vector<SubsetCandidate> result;
  for (std::size_t i = 0; i < n; ++i) {
    result.push_back({"i-" + std::to_string(i), i % kDataCentres == own});
  }
  return result;
}

std::set<std::string> ChosenIds(const std::vector<SubsetCandidate>& targets,
                                const std::string& self) {
  std::set<std::string> result;
  for (const std::size_t i : ChooseSubset(targets, self, {})) result.insert(targets[i].id);
  return result;
}

TEST_CASE("an instance uses all targets of a small service", "[target_subset]") {
  const std::size_t n = GENERATE(0U, 1U, 24U);
  CHECK(ChooseSubset(Targets(n, 0), "a", {}).size() == n);
}

TEST_CASE("an instance uses a few near and fewer far targets of a large service",
          "[target_subset]") {
  const SubsetSettings settings;
  const auto [n, near] = GENERATE(table<std::size_t, std::size_t>({{174, 10}, {60, 10}, {30, 5}}));
  const auto targets = Targets(n, 2);
  const auto chosen = ChooseSubset(targets, "10.0.0.1:7400", settings);
  CHECK(chosen.size() == settings.near_targets + settings.far_targets);
  const auto in_own = std::count_if(chosen.begin(), chosen.end(),
                                    [&](std::size_t i) { return targets[i].same_data_centre; });
  CHECK(in_own == static_cast<std::ptrdiff_t>(near));
}

TEST_CASE("removing a target replaces one choice of the instances that used it and no other",
          "[target_subset]") {
  const auto before = Targets(174, 1);
  auto after = before;
  after.erase(after.begin() + 7);
  for (int i = 0; i < 50; ++i) {
    const std::string self = "instance-" + std::to_string(i);
    const auto chosen = ChosenIds(before, self);
    auto chosen_after = ChosenIds(after, self);
    std::size_t replaced = 0;
    for (const std::string& it : chosen) replaced += chosen_after.count(it) == 0 ? 1 : 0;
    CHECK(replaced == chosen.count("i-7"));
  }
}

TEST_CASE("the instances of a large fleet use all targets about equally", "[target_subset]") {
  std::map<std::string, int> users;
  constexpr int kInstances = 300;
  for (int i = 0; i < kInstances; ++i) {
    const auto targets = Targets(174, static_cast<std::size_t>(i) % kDataCentres);
    for (const std::string& it : ChosenIds(targets, "instance-" + std::to_string(i))) ++users[it];
  }
  CHECK(users.size() == 174);
  const double mean = kInstances * 14.0 / 174;
  for (const auto& [id, n] : users) {
    CHECK(n > mean / 2);
    CHECK(n < mean * 2);
  }
}

}  // namespace
}  // namespace dogwoodport::fleet
