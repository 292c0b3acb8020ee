#include "dogwoodport/daemon/json_log.h"

#include <chrono>
#include <ctime>

namespace dogwoodport {
namespace {

std::string FormatCurrentTime() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() %
      1'000'000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  std::array<char, 64> out{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(out.data(), out.size(), "%s.%06dZ", text.data(), static_cast<int>(micros));
  return out.data();
}

const char* LevelName(google::LogSeverity level) {
  switch (level) {
    case google::GLOG_INFO:
      return "info";
    case google::GLOG_WARNING:
      return "warning";
    default:
      return "error";
  }
}

}  // namespace

void JsonLog::Write(google::LogSeverity level, std::string_view event,
                    const nlohmann::json& fields) const {
  nlohmann::ordered_json line = {{"time", FormatCurrentTime()},
                                 {"level", LevelName(level)},
                                 {"instance", instance_},
                                 {"data_centre", data_centre_},
                                 {"event", event}};
  for (const auto& [name, value] : fields.items()) line[name] = value;
  google::LogMessage(__FILE__, __LINE__, level).stream()
      << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void InitJsonLog(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program);
}

}  // namespace dogwoodport
