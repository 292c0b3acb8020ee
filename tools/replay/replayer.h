#pragma once

/// @file
/// Registry of trace replayers. A trace is a file of JSON lines: the first line is a header
/// `{"trace": name, "system": name, "seed": n, "outcome": {...}}`, the others are events with
/// `at_ms` and `event`.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dogwoodport::replay {

/// A recorded trace with its stated outcome.
struct Trace {
  nlohmann::json header;
  std::vector<nlohmann::json> events;
};

/// Replays a trace through the decision code in virtual time and returns one line per difference
/// from the outcome.
using Replayer = std::function<std::vector<std::string>(const Trace& trace)>;

/// Registers the replayer for the traces of one system, e.g. "ownership".
struct Registration {
  Registration(std::string system, Replayer replayer);
};

}  // namespace dogwoodport::replay
