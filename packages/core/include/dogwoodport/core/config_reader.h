#pragma once

/// @file
/// Makes a `Config` from the published JSON document and lists all faults of a document. The
/// document is described by docs/configuration.md and docs/config.schema.json.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/error.h"

namespace dogwoodport {

/// One fault of a document.
struct ConfigFault {
  /// JSON pointer (RFC 6901) to the value, e.g. "/targets/3/port".
  std::string pointer;
  /// The value as JSON, shortened to 80 bytes.
  std::string value;
  /// What was expected in its place.
  std::string expectation;

  friend bool operator==(const ConfigFault&, const ConfigFault&) = default;
};

/// A configuration document is invalid; lists all its faults.
class ConfigError : public Error {
 public:
  explicit ConfigError(std::vector<ConfigFault> faults);

  const std::vector<ConfigFault>& faults() const noexcept { return faults_; }

 private:
  std::vector<ConfigFault> faults_;
};

/// Returns the JSON value of `text`. Throws `ConfigError` when the text is not JSON, nests deeper
/// than 32 levels, or gives a name twice in one object, of which JSON readers drop one silently.
nlohmann::json ParseConfigText(std::string_view text);

/// Returns the typed configuration with the exceptions applied that are in force at `unix_ms`.
/// Throws `ConfigError` with all faults. Complexity: n log n in the number of entries.
///
/// @code
/// const Config config = ReadConfig(ParseConfigText(text), unix_ms);
/// @endcode
Config ReadConfig(const nlohmann::json& document, std::int64_t unix_ms);

}  // namespace dogwoodport
