#pragma once

/// @file
/// Metrics in the Prometheus text format. Labels have a fixed set of values: status classes and run
/// states.

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodport/core/request.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Latency histogram of caller requests by status class and run state. Not thread-safe.
///
/// @code
/// metrics.Observe(200, RunState::kYes, Duration(1500));
/// @endcode
class Metrics {
 public:
  Metrics();

  /// Records one response. Complexity: logarithmic in the number of bins.
  void Observe(std::uint16_t status, RunState run, Duration latency);

  /// Appends the histogram in the Prometheus text format. Complexity: linear in the number of bins.
  void Write(std::string& out) const;

 private:
  using LatencyAxis = boost::histogram::axis::variable<double>;
  using CategoryAxis = boost::histogram::axis::integer<int>;
  using Histogram = decltype(boost::histogram::make_histogram(
      std::declval<LatencyAxis>(), std::declval<CategoryAxis>(), std::declval<CategoryAxis>()));

  Histogram latency_;
  double latency_sum_s_ = 0;
};

/// Appends the type line of a metric and its value, e.g. `dogwood_requests_total 7`.
void WriteValue(std::string& out, std::string_view name, std::string_view type, double value);

}  // namespace dogwoodport
