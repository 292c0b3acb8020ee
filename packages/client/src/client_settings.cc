#include "dogwoodport/client/client_settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "dogwoodport/client/client_error.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

/// Reads members of a settings file and collects the errors.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view file) : file_(file) {}

  void AddError(const std::string& pointer, const std::string& value,
                const std::string& expectation) {
    errors_ += (errors_.empty() ? "" : "\n") + file_ + ": " + (pointer.empty() ? "/" : pointer) +
               ": is " + value + ", expected " + expectation;
  }

  void ThrowIfAny() const {
    if (!errors_.empty()) throw ClientError(ExitStatus::kUsage, errors_);
  }

  std::string ReadText(const json& in, const std::string& parent_pointer, const char* name,
                       bool secret = false) {
    const json* value = FindMember(in, name);
    if (value != nullptr && value->is_string() && !value->get_ref<const std::string&>().empty()) {
      return value->get<std::string>();
    }
    AddError(parent_pointer + "/" + name, DescribeValue(value, secret), "a non-empty string");
    return {};
  }

  std::int64_t ReadInteger(const json& in, const std::string& parent_pointer, const char* name,
                           std::int64_t min, std::int64_t max) {
    const json* value = FindMember(in, name);
    if (value != nullptr && value->is_number_integer()) {
      const auto n = value->get<std::int64_t>();
      if (n >= min && n <= max) return n;
    }
    AddError(parent_pointer + "/" + name, DescribeValue(value, false),
             "an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
  }

  void CheckKnownNames(const json& in, const std::string& parent_pointer,
                       const std::vector<std::string>& known) {
    for (const auto& [name, value] : in.items()) {
      if (std::find(known.begin(), known.end(), name) != known.end()) continue;
      std::string pointer = parent_pointer;
      pointer += '/';
      pointer += name;
      AddError(pointer, "present", "no such setting");
    }
  }

  static const json* FindMember(const json& in, const char* name) {
    const auto it = in.find(name);
    return it == in.end() ? nullptr : &*it;
  }

 private:
  static std::string DescribeValue(const json* value, bool secret) {
    if (value == nullptr) return "absent";
    if (secret) return "not shown";
    return value->dump(-1, ' ', false, json::error_handler_t::replace).substr(0, 80);
  }

  std::string file_;
  std::string errors_;
};

void ReadLog(SettingsReader& reader, const json& in, ClientSettings& settings) {
  const json* log = SettingsReader::FindMember(in, "log_service");
  if (log == nullptr || !log->is_object()) {
    reader.AddError("/log_service", log == nullptr ? "absent" : log->type_name(), "an object");
    return;
  }
  reader.CheckKnownNames(*log, "/log_service", {"host", "port", "log"});
  settings.log_host = reader.ReadText(*log, "/log_service", "host");
  settings.log_port =
      static_cast<std::uint16_t>(reader.ReadInteger(*log, "/log_service", "port", 1, 65535));
  if (log->contains("log")) settings.log = reader.ReadText(*log, "/log_service", "log");
}

void ReadInstances(SettingsReader& reader, const json& in, ClientSettings& settings) {
  const json* list = SettingsReader::FindMember(in, "instances");
  if (list == nullptr) return;
  if (!list->is_array()) {
    reader.AddError("/instances", list->type_name(), "a list of objects");
    return;
  }
  for (std::size_t n = 0; n < list->size(); ++n) {
    const std::string entry_pointer = "/instances/" + std::to_string(n);
    const json& entry = (*list)[n];
    if (!entry.is_object()) {
      reader.AddError(entry_pointer, entry.type_name(), "an object");
      continue;
    }
    reader.CheckKnownNames(entry, entry_pointer, {"name", "host", "port"});
    InstanceAddress instance{reader.ReadText(entry, entry_pointer, "name"),
                             reader.ReadText(entry, entry_pointer, "host")};
    instance.port =
        static_cast<std::uint16_t>(reader.ReadInteger(entry, entry_pointer, "port", 1, 65535));
    settings.instances.push_back(std::move(instance));
  }
}

Duration ReadDuration(SettingsReader& reader, const json& in, const char* name, Duration fallback) {
  if (!in.contains(name)) return fallback;
  return std::chrono::milliseconds(reader.ReadInteger(in, "", name, 1, kMaxTimeoutMs));
}

}  // namespace

ClientSettings ReadClientSettings(std::string_view file, std::string_view text) {
  SettingsReader reader(file);
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object()) {
    reader.AddError("", in.is_discarded() ? "not JSON" : in.type_name(), "a JSON object");
    reader.ThrowIfAny();
  }
  reader.CheckKnownNames(in, "",
                         {"actor", "log_service", "instances", "operator_secret", "log_wait_ms",
                          "in_force_wait_ms", "answer_timeout_ms"});
  ClientSettings settings;
  settings.actor = reader.ReadText(in, "", "actor");
  ReadLog(reader, in, settings);
  ReadInstances(reader, in, settings);
  if (in.contains("operator_secret")) {
    settings.operator_secret = reader.ReadText(in, "", "operator_secret", true);
  }
  settings.log_retry_timeout = ReadDuration(reader, in, "log_wait_ms", settings.log_retry_timeout);
  settings.confirmation_timeout =
      ReadDuration(reader, in, "in_force_wait_ms", settings.confirmation_timeout);
  settings.response_timeout =
      ReadDuration(reader, in, "answer_timeout_ms", settings.response_timeout);
  reader.ThrowIfAny();
  return settings;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw ClientError(ExitStatus::kUsage, path + ": cannot be read");
  return text.str();
}

ClientSettings LoadClientSettings(const std::string& path) {
  return ReadClientSettings(path, ReadFile(path));
}

}  // namespace dogwoodport
