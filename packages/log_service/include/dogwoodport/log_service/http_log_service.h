#pragma once

/// @file
/// Client of the log service's HTTP protocol (section 3 of the design page).

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "dogwoodport/core/types.h"
#include "dogwoodport/log_service/log_service.h"

namespace dogwoodport {

/// Where the log service is and how long to wait for it.
struct HttpLogSettings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string log = "control";
  Duration connect_timeout{1'000'000};
  /// Longer than the log's known slowness, so that slow answers are not taken for lost ones.
  Duration answer_timeout{5'000'000};
  /// An answer with more bytes is refused.
  std::size_t max_answer_bytes = 64'000'000;
};

/// Log service over HTTP. Each call has a connection of its own, so a connection that went silent
/// affects one call. Thread-safe.
class HttpLogService : public LogService {
 public:
  explicit HttpLogService(HttpLogSettings settings) : settings_(std::move(settings)) {}

  std::uint64_t Append(const std::vector<std::string>& records) override;
  LogPage Read(std::uint64_t from, std::uint32_t max) override;
  std::uint64_t FirstRetained() override;
  std::vector<ListedInstance> ListInstances() override;

 private:
  struct Answer;
  Answer Call(const std::string& method, const std::string& path, const std::string& body) const;
  std::string RecordsPath() const;

  HttpLogSettings settings_;
};

}  // namespace dogwoodport
