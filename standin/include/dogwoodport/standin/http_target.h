#pragma once

/// @file
/// Simulator of a target that speaks the target protocol over HTTP and can be told to misbehave.

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace dogwoodport::standin {

/// How a simulated target answers.
enum class AnswerMode {
  kWhole,
  /// Announces the whole body and closes after half of it.
  kTruncated,
  /// Sends bytes that are no HTTP answer.
  kMalformed,
  /// Sends the identifier of another request.
  kCrossed,
  /// Sends a second, unasked answer after the first.
  kDoubled,
  /// Sends a body of `oversized_bytes`.
  kOversized,
  /// Reads the request, runs it and never answers on connections that exist now.
  kSilent,
  /// Closes the connection without an answer after running the request.
  kDropped,
};

/// Behaviour of a simulated target; may change while it runs.
struct TargetBehaviour {
  std::string name = "target";
  int slots = 4;
  int service_ms = 2;
  AnswerMode mode = AnswerMode::kWhole;
  /// Every n-th answer follows `mode`, the others are whole.
  int mode_every = 1;
  /// Time after the start in which at most `cold_slots` requests run; more of them make it fail.
  int cold_ms = 0;
  int cold_slots = 1;
  /// Neither answers nor accepts while true.
  bool frozen = false;
  bool draining = false;
  bool check_grants = false;
  /// Requests whose body contains this text end the process (or the simulator, when it runs inside
  /// a test).
  std::string crash_body;
  /// Age of the load report.
  int load_age_ms = 0;
  int oversized_bytes = 16 << 20;
};

/// Changes the fields that `json` names, as sent to `PUT /-/behaviour`.
/// Throws `std::invalid_argument` on an unknown name or a wrong type.
void ApplyJson(TargetBehaviour& behaviour, const nlohmann::json& json);

/// One request that a target ran.
struct TargetRun {
  std::string request_id;
  std::string method;
  std::string uri;
  std::string account;
  std::string epoch;
  std::string idempotency_key;
  bool had_authorization = false;
  bool finished = false;
};

/// Serves the target protocol, and besides it for tests `PUT /-/behaviour` and `GET /-/runs`.
class HttpTarget {
 public:
  /// Port 0 lets the system choose one. @throws Poco::Exception when it can't be bound.
  explicit HttpTarget(TargetBehaviour behaviour, std::uint16_t port = 0);
  ~HttpTarget();
  HttpTarget(const HttpTarget&) = delete;
  HttpTarget& operator=(const HttpTarget&) = delete;

  std::uint16_t port() const;
  void Set(const TargetBehaviour& behaviour);
  TargetBehaviour behaviour() const;
  std::vector<TargetRun> runs() const;
  int in_flight() const;
  /// Whether a request with `crash_body` has arrived.
  bool crashed() const;
  /// Connections accepted since the start.
  int connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport::standin
