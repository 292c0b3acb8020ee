#pragma once

/// @file
/// Results of the measurement tool and the registry of its parts. Each part is one .cc file in this
/// folder that defines a `Registration` at namespace scope.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodport::measure {

/// How a value is compared with its target.
enum class Relation { kAtMost, kAtLeast, kEqual };

/// One measured value and the target it is held to.
struct Result {
  /// Starts with the number of the measure, e.g. `1.unavailable.target_lost`.
  std::string id;
  double value = 0;
  std::string unit;
  double target = 0;
  Relation relation = Relation::kAtMost;
  /// Value of the baseline in the same run, where there is one.
  std::optional<double> baseline;
  std::uint64_t seed = 0;

  /// Returns whether `value` meets `target`. Complexity: constant.
  bool ok() const noexcept;
};

/// Collects the results of a run.
class Report {
 public:
  void Add(Result result) { results_.push_back(std::move(result)); }
  const std::vector<Result>& results() const noexcept { return results_; }

 private:
  std::vector<Result> results_;
};

/// Runs one part of the measurements with the given seed and adds its results.
using Part = std::function<void(std::uint64_t seed, Report& report)>;

/// Registers a part under a name such as "ownership"; parts run in the order of their names.
struct Registration {
  Registration(std::string name, Part part);
};

}  // namespace dogwoodport::measure
