#pragma once

/// @file
/// Log of JSON objects, one per line, through glog.

#include <glog/logging.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dogwoodport {

/// Writes log lines with the fields time, level, instance, data_centre, event and those given. A
/// secret must never be passed: callers log identifiers of accounts and keys only. All members may
/// be called from any thread.
///
/// @code
/// log.Info("draining", {{"running", n}});
/// @endcode
class JsonLog {
 public:
  JsonLog(std::string instance, std::string data_centre)
      : instance_(std::move(instance)), data_centre_(std::move(data_centre)) {}

  void Info(std::string_view event, const nlohmann::json& fields = nlohmann::json::object()) const {
    Write(google::GLOG_INFO, event, fields);
  }
  void Warning(std::string_view event,
               const nlohmann::json& fields = nlohmann::json::object()) const {
    Write(google::GLOG_WARNING, event, fields);
  }
  void Error(std::string_view event,
             const nlohmann::json& fields = nlohmann::json::object()) const {
    Write(google::GLOG_ERROR, event, fields);
  }

 private:
  void Write(google::LogSeverity level, std::string_view event, const nlohmann::json& fields) const;

  std::string instance_;
  std::string data_centre_;
};

/// Sends glog's output to stderr without its own prefix. Call once at the start of the process.
void InitJsonLog(const char* program);

}  // namespace dogwoodport
