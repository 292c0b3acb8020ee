#pragma once

/// @file
/// Counts and latency histograms of requests, by service and outcome.

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

class RequestMetrics {
 public:
  /// Records a request that has ended. `took` is the time since its arrival; `service` is empty if
  /// none was chosen.
  void Count(std::string_view service, std::string_view outcome, Duration took);

  /// Returns the histograms in the Prometheus text format: `dogwood_request_seconds` with the
  /// labels service and outcome.
  std::string Text() const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;
  struct Entry {
    Histogram histogram;
    double sum_s = 0;
    std::uint64_t count = 0;
  };

  std::map<std::pair<std::string, std::string>, Entry> entries_;
};

}  // namespace dogwoodport::fleet
