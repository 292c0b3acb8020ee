#pragma once

/// @file
/// Logging of JSON objects through glog, one object per line.

#include <glog/logging.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dogwoodport {

/// Writes log lines with the fields time, level, instance, data_centre and event, followed by the
/// given fields. Callers must not pass secrets, only identifiers of accounts and keys. Thread-safe.
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

/// Configures glog to write to stderr without its own line prefix. Must be called once, at process
/// start.
void InitJsonLog(const char* program);

}  // namespace dogwoodport
