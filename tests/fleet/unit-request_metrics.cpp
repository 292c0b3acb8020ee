#include <catch2/catch.hpp>

#include "dogwoodport/fleet/requests/request_metrics.h"

namespace dogwoodport::fleet {
namespace {

using std::chrono::milliseconds;

bool Contains(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST_CASE("requests are counted by service, outcome and latency", "[request_metrics]") {
  RequestMetrics metrics;
  metrics.Count("stock", "served", milliseconds(4));
  metrics.Count("stock", "served", milliseconds(150));
  metrics.Count("stock", "served", milliseconds(60'000));
  metrics.Count("stock", "overloaded", Duration{0});
  metrics.Count("", "unknown_route", Duration{0});
  const std::string text = metrics.Text();
  const std::string served = R"({service="stock",outcome="served")";
  CHECK(Contains(text, "dogwood_request_seconds_bucket" + served + R"(,le="0.005"} 1)"));
  CHECK(Contains(text, "dogwood_request_seconds_bucket" + served + R"(,le="0.1"} 1)"));
  CHECK(Contains(text, "dogwood_request_seconds_bucket" + served + R"(,le="0.2"} 2)"));
  CHECK(Contains(text, "dogwood_request_seconds_bucket" + served + R"(,le="10"} 2)"));
  CHECK(Contains(text, "dogwood_request_seconds_bucket" + served + R"(,le="+Inf"} 3)"));
  CHECK(Contains(text, "dogwood_request_seconds_count" + served + "} 3"));
  CHECK(Contains(text, R"(dogwood_request_seconds_count{service="stock",outcome="overloaded"} 1)"));
  CHECK(Contains(text, R"(dogwood_request_seconds_count{service="",outcome="unknown_route"} 1)"));
}

TEST_CASE("without requests only the TYPE line is printed", "[request_metrics]") {
  CHECK(RequestMetrics().Text() == "# TYPE dogwood_request_seconds histogram\n");
}

}  // namespace
}  // namespace dogwoodport::fleet
