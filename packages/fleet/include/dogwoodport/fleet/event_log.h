#pragma once

/// @file
/// Interface of the structured event log.

#include <nlohmann/json.hpp>
#include <string_view>

namespace dogwoodport::fleet {

/// Log levels. Each has its own limit of lines per second, so that frequent events do not displace
/// rare ones.
enum class LogLevel {
  kDebug,    ///< A successful request.
  kInfo,     ///< A change of state or role.
  kWarning,  ///< A refused or failed request, or a lost dependency.
  kError,    ///< A condition that an operator must correct.
};

/// Receives one structured line per event.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(LogLevel level, std::string_view event, const nlohmann::json& fields) = 0;
  /// Whether a line of this level would currently be written. Callers of frequent events use it to
  /// avoid building the line.
  virtual bool Wants(LogLevel level) = 0;
};

}  // namespace dogwoodport::fleet
