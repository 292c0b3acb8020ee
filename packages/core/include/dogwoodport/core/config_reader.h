#pragma once

/// @file
/// Reads the published JSON document into a `Config`, or reports all faults of the document. The
/// format is described in docs/configuration.md and docs/config.schema.json.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/error.h"

namespace dogwoodport {

/// One fault in a document.
struct ConfigFault {
  /// JSON pointer (RFC 6901) to the value, e.g. "/targets/3/port".
  std::string pointer;
  /// The value as JSON, truncated to 80 bytes.
  std::string value;
  /// Description of the expected value.
  std::string expectation;

  friend bool operator==(const ConfigFault&, const ConfigFault&) = default;
};

/// Thrown for an invalid configuration document. Contains all faults found.
class ConfigError : public Error {
 public:
  explicit ConfigError(std::vector<ConfigFault> faults);

  const std::vector<ConfigFault>& faults() const noexcept { return faults_; }

 private:
  std::vector<ConfigFault> faults_;
};

/// Parses `text` as JSON. Throws `ConfigError` if it is not JSON, nests deeper than 32 levels, or
/// contains an object with a duplicate name: JSON parsers silently drop one of the two values.
nlohmann::json ParseConfigText(std::string_view text);

/// Returns the typed configuration. Exceptions that have not ended at `unix_ms` are applied. Throws
/// `ConfigError` with all faults. Complexity: n log n in the number of entries.
///
/// @code
/// const Config config = ReadConfig(ParseConfigText(text), unix_ms);
/// @endcode
Config ReadConfig(const nlohmann::json& document, std::int64_t unix_ms);

}  // namespace dogwoodport
