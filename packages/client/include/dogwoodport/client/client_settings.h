#pragma once

/// @file
/// Settings of `dogwoodctl`, read from a JSON file. docs/dogwoodctl.md has an example.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Name of an instance and the address of its operator pages.
struct InstanceAddress {
  std::string name;
  std::string host;
  std::uint16_t port = 0;
};

struct ClientSettings {
  /// Name of the operator, recorded in the audit.
  std::string actor;
  std::string log_host;
  std::uint16_t log_port = 0;
  std::string log = "control";
  std::vector<InstanceAddress> instances;
  std::string operator_secret;
  /// How long a change is retried if the log service is unreachable or its responses are lost.
  Duration log_retry_timeout{10'000'000};
  /// How long the client waits for a change to be in force on the instances. Requirement P12
  /// allows 3 s.
  Duration confirmation_timeout{5'000'000};
  Duration response_timeout{2'000'000};
};

/// Parses settings from JSON text. `file` is only used in error messages. Throws `ClientError`
/// listing each error with file, JSON pointer, value and expectation. Values of secrets are not
/// shown.
ClientSettings ReadClientSettings(std::string_view file, std::string_view text);

/// Reads settings from a file. Throws `ClientError` if the file cannot be read or is invalid.
ClientSettings LoadClientSettings(const std::string& path);

/// Returns the content of a file. Throws `ClientError` with `kUsage` if it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace dogwoodport
