#pragma once

/// @file
/// Settings of one instance, read from a JSON file at the start. docs/quickstart.md has an example.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/error.h"
#include "dogwoodport/gateway/http_entry.h"
#include "dogwoodport/gateway/target_client.h"

namespace dogwoodport {

/// The settings are invalid; each line of the text names file, JSON pointer, value and expectation.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// Another instance: its name, data centre and mesh address.
struct PeerSettings {
  std::string instance;
  std::string data_centre;
  std::string address;
};

/// Where the control log is.
struct LogServiceSettings {
  std::string host;
  std::uint16_t port = 0;
  std::string log = "control";
};

/// Salted SHA-256 of the operators' secret, in hexadecimal.
struct OperatorSecretSettings {
  std::string salt_hex;
  std::string hash_hex;
};

struct OperatorSettings {
  EntrySettings entry;
  /// Without it the pages that need the secret are refused.
  std::optional<OperatorSecretSettings> secret;
};

struct ShutdownSettings {
  /// Time between reporting not ready and refusing connections, for the load balancer to notice.
  std::chrono::milliseconds load_balancer_wait{2000};
  /// Longest time for running requests to finish.
  std::chrono::milliseconds drain_timeout{30000};
};

struct MeshListenSettings {
  std::string listen = "127.0.0.1:0";
  std::size_t max_message_bytes = std::size_t{16} << 20U;
  std::vector<PeerSettings> peers;
};

struct Settings {
  std::string instance;
  std::string data_centre;
  EntrySettings entry;
  OperatorSettings operators;
  MeshListenSettings mesh;
  TargetClientSettings targets;
  LogServiceSettings log_service;
  ShutdownSettings shutdown;
  /// Threads that run requests forwarded by other instances.
  int forward_workers = 64;
  /// Age of the control state after which secrets are refused; none keeps accepting them.
  std::optional<std::chrono::milliseconds> secret_max_staleness;
};

/// Reads settings from JSON text. `file` is used in error texts only.
/// @throws SettingsError that lists all errors.
Settings ReadSettings(std::string_view file, std::string_view text);

/// Reads settings from a file.
/// @throws SettingsError when it can't be read or is invalid.
Settings LoadSettings(const std::string& path);

}  // namespace dogwoodport
