#pragma once

/// @file
/// Client of the operator pages of the instances (section 8 of the design page).

#include <nlohmann/json.hpp>
#include <string>

#include "dogwoodport/client/client_settings.h"

namespace dogwoodport {

/// Interface to the operator pages. All calls block.
class InstanceClient {
 public:
  virtual ~InstanceClient() = default;

  /// Returns the JSON content of a page, e.g. "/-/status". Throws `ClientError` with `kUnreachable`
  /// if the instance does not respond and with `kFailed` for any response other than 200 with JSON.
  virtual nlohmann::ordered_json Get(const InstanceAddress& instance, const std::string& path) = 0;
};

/// Reads pages over HTTP, authenticated with the operator secret. Responses are limited to 64 MB.
class HttpInstanceClient : public InstanceClient {
 public:
  HttpInstanceClient(std::string secret, Duration timeout)
      : secret_(std::move(secret)), timeout_(timeout) {}

  nlohmann::ordered_json Get(const InstanceAddress& instance, const std::string& path) override;

 private:
  std::string secret_;
  Duration timeout_;
};

/// Returns `text` percent-encoded for use as a query parameter value.
std::string EncodeQueryValue(const std::string& text);

}  // namespace dogwoodport
