#pragma once

/// @file
/// Settings of one instance, read from a JSON file at startup. docs/quickstart.md has an example.

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

/// Thrown for invalid settings. Each line of the message contains file, JSON pointer, value and
/// expectation.
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

/// Address and name of the control log.
struct LogServiceSettings {
  std::string host;
  std::uint16_t port = 0;
  std::string log = "control";
};

/// Salted SHA-256 hash of the operator secret, in hexadecimal.
struct OperatorSecretSettings {
  std::string salt_hex;
  std::string hash_hex;
};

struct OperatorSettings {
  EntrySettings entry;
  /// If unset, the pages that require the operator secret are refused.
  std::optional<OperatorSecretSettings> secret;
};

struct ShutdownSettings {
  /// Time between reporting not ready and refusing connections, so that the load balancer can
  /// react.
  std::chrono::milliseconds load_balancer_wait{2000};
  /// Maximum time for running requests to finish.
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
  /// Number of threads that run requests forwarded by other instances.
  int forward_workers = 64;
  /// Age of the control state above which secrets are refused. If unset, secrets are accepted
  /// whatever that age.
  std::optional<std::chrono::milliseconds> secret_max_staleness;
};

/// Parses settings from JSON text. `file` is only used in error messages.
/// @throws SettingsError listing all errors.
Settings ReadSettings(std::string_view file, std::string_view text);

/// Reads settings from a file.
/// @throws SettingsError if the file cannot be read or is invalid.
Settings LoadSettings(const std::string& path);

}  // namespace dogwoodport
