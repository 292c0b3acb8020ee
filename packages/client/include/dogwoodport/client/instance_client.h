#pragma once

/// @file
/// Reads the pages of instances' operators' addresses (section 8 of the design page).

#include <nlohmann/json.hpp>
#include <string>

#include "dogwoodport/client/client_settings.h"

namespace dogwoodport {

/// Interface to the operators' addresses. All calls block.
class InstanceClient {
 public:
  virtual ~InstanceClient() = default;

  /// Returns the JSON of a page, e.g. "/-/status". Throws `ClientError`: `kUnreachable` when the
  /// instance does not answer, `kFailed` for any answer other than 200 with JSON.
  virtual nlohmann::ordered_json Get(const InstanceAddress& instance, const std::string& path) = 0;
};

/// Reads over HTTP with the operator's secret. An answer may have at most 64 MB.
class HttpInstanceClient : public InstanceClient {
 public:
  HttpInstanceClient(std::string secret, Duration timeout)
      : secret_(std::move(secret)), timeout_(timeout) {}

  nlohmann::ordered_json Get(const InstanceAddress& instance, const std::string& path) override;

 private:
  std::string secret_;
  Duration timeout_;
};

/// Returns `text` percent-encoded for use in a query.
std::string EncodeQueryValue(const std::string& text);

}  // namespace dogwoodport
