#include "dogwoodport/fleet/requests/request_metrics.h"

#include <array>
#include <boost/histogram/make_histogram.hpp>
#include <sstream>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {
namespace {

/// Upper bounds of the histogram buckets in seconds, around the latency objectives of 0.2 to 2 s.
constexpr std::array<double, 15> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                            0.75,  1,    1.5,   2,    3,   5,   10};

}  // namespace

void RequestMetrics::Count(std::string_view service, std::string_view outcome, Duration took) {
  const std::pair key{std::string(service), std::string(outcome)};
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    std::vector<double> edges = {0};
    edges.insert(edges.end(), kBounds.begin(), kBounds.end());
    it = entries_.emplace(key, Entry{Histogram(Axis(edges)), 0, 0}).first;
  }
  const double seconds = Seconds(took);
  it->second.histogram(seconds);
  it->second.sum_s += seconds;
  ++it->second.count;
}

std::string RequestMetrics::Text() const {
  std::ostringstream out;
  out << "# TYPE dogwood_request_seconds histogram\n";
  for (const auto& [key, entry] : entries_) {
    const std::string labels = "service=\"" + key.first + "\",outcome=\"" + key.second + "\"";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      below += entry.histogram.at(static_cast<int>(i));
      out << "dogwood_request_seconds_bucket{" << labels << ",le=\"" << kBounds[i] << "\"} "
          << below << "\n";
    }
    out << "dogwood_request_seconds_bucket{" << labels << ",le=\"+Inf\"} " << entry.count << "\n"
        << "dogwood_request_seconds_sum{" << labels << "} " << entry.sum_s << "\n"
        << "dogwood_request_seconds_count{" << labels << "} " << entry.count << "\n";
  }
  return out.str();
}

}  // namespace dogwoodport::fleet
