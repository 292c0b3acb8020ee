#pragma once

/// @file
/// Simulator of the platform's log service over HTTP (section 3 of the design page), with a control
/// endpoint for faults:
///
/// - `PUT /control/faults` `{"down":false,"delay_ms":0,"lost_answers":0}`
/// - `PUT /control/retained` `{"records":1000}`
/// - `PUT /control/hole` `{"log":"control","offset":7}`
/// - `PUT /v1/instances` with the body that `GET /v1/instances` returns

#include <cstdint>
#include <memory>

namespace dogwoodport::standin {

/// Settings of the simulator.
struct LogServerSettings {
  /// 0 lets the system choose.
  std::uint16_t port = 0;
  /// Records that each log keeps.
  std::size_t retained = 1'000'000;
};

/// The simulator; serves on 127.0.0.1 until it is destroyed.
class LogServer {
 public:
  explicit LogServer(const LogServerSettings& settings);
  ~LogServer();
  LogServer(const LogServer&) = delete;
  LogServer& operator=(const LogServer&) = delete;

  std::uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport::standin
