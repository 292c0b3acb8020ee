#pragma once

/// @file
/// Where decisions are logged.

#include <nlohmann/json.hpp>
#include <string_view>

namespace dogwoodport::fleet {

/// Levels; each has its own bound of lines per second, so that frequent lines do not displace rare
/// ones.
enum class LogLevel {
  kDebug,    ///< A request that went well.
  kInfo,     ///< A belief or a role that changed.
  kWarning,  ///< A request that was refused or failed, or a lost dependency.
  kError,    ///< Something that an operator has to mend.
};

/// Receives one structured line for each decision.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(LogLevel level, std::string_view event, const nlohmann::json& fields) = 0;
  /// Whether a line of a frequent kind would be written now; saves building it.
  virtual bool Wants(LogLevel level) = 0;
};

}  // namespace dogwoodport::fleet
