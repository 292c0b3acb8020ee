#include "dogwoodport/daemon/metrics.h"

#include <cmath>
#include <cstdio>
#include <vector>

namespace dogwoodport {
namespace {

/// Upper bounds of the buckets, after the lower bound of the first. 14 ms is the latency target at
/// the design load.
constexpr std::array<double, 17> kBucketBoundsSeconds = {
    0, 0.0005, 0.001, 0.002, 0.004, 0.008, 0.014, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60};

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", value);
  return text.data();
}

}  // namespace

Metrics::Metrics()
    : latency_(boost::histogram::make_histogram(
          LatencyAxis(
              std::vector<double>(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end())),
          CategoryAxis(1, 6), CategoryAxis(0, 3))) {}

void Metrics::Observe(std::uint16_t status, RunState run, Duration latency) {
  const double seconds = static_cast<double>(latency.count()) / 1e6;
  latency_(seconds, status / 100, static_cast<int>(run));
  latency_sum_s_ += seconds;
}

void Metrics::Write(std::string& out) const {
  const std::string name = "dogwood_request_seconds";
  out += "# TYPE " + name + " histogram\n";
  for (int status = 0; status < 5; ++status) {
    for (int run = 0; run < 3; ++run) {
      const std::string labels = "status=\"" + std::to_string(status + 1) + "xx\",run=\"" +
                                 std::string(ToString(static_cast<RunState>(run))) + "\"";
      double cumulative_count = 0;
      std::string bucket_lines;
      // Starts at 0 because bin -1 is the underflow bin, for values below the first bound of 0.
      for (int bin = 0; bin <= static_cast<int>(kBucketBoundsSeconds.size()) - 1; ++bin) {
        cumulative_count += latency_.at(bin, status, run);
        const bool is_last = bin == static_cast<int>(kBucketBoundsSeconds.size()) - 1;
        const std::string bound =
            is_last ? "+Inf"
                    : FormatNumber(kBucketBoundsSeconds[static_cast<std::size_t>(bin) + 1]);
        bucket_lines.append(name).append("_bucket{").append(labels).append(",le=\"").append(bound);
        bucket_lines.append("\"} ").append(FormatNumber(cumulative_count)).append("\n");
      }
      if (cumulative_count == 0) continue;
      out.append(bucket_lines).append(name).append("_count{").append(labels).append("} ");
      out.append(FormatNumber(cumulative_count)).append("\n");
    }
  }
  WriteValue(out, "dogwood_request_seconds_total", "counter", latency_sum_s_);
}

void WriteValue(std::string& out, std::string_view name, std::string_view type, double value) {
  out += "# TYPE " + std::string(name) + " " + std::string(type) + "\n" + std::string(name) + " " +
         FormatNumber(value) + "\n";
}

}  // namespace dogwoodport
