#include "dogwoodport/client/client_settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "dogwoodport/client/client_error.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxWaitMs = 3'600'000;

/// Collects the errors of a settings file.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view file) : file_(file) {}

  void Fault(const std::string& pointer, const std::string& value, const std::string& expectation) {
    faults_ += (faults_.empty() ? "" : "\n") + file_ + ": " + (pointer.empty() ? "/" : pointer) +
               ": is " + value + ", expected " + expectation;
  }

  void Finish() const {
    if (!faults_.empty()) throw ClientError(ExitStatus::kUsage, faults_);
  }

  std::string Text(const json& in, const std::string& at, const char* name, bool secret = false) {
    const json* value = Find(in, name);
    if (value != nullptr && value->is_string() && !value->get_ref<const std::string&>().empty()) {
      return value->get<std::string>();
    }
    Fault(at + "/" + name, Show(value, secret), "a text that is not empty");
    return {};
  }

  std::int64_t Integer(const json& in, const std::string& at, const char* name, std::int64_t least,
                       std::int64_t most) {
    const json* value = Find(in, name);
    if (value != nullptr && value->is_number_integer()) {
      const auto n = value->get<std::int64_t>();
      if (n >= least && n <= most) return n;
    }
    Fault(at + "/" + name, Show(value, false),
          "an integer from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
  }

  void CheckNames(const json& in, const std::string& at, const std::vector<std::string>& known) {
    for (const auto& [name, value] : in.items()) {
      if (std::find(known.begin(), known.end(), name) != known.end()) continue;
      std::string pointer = at;
      pointer += '/';
      pointer += name;
      Fault(pointer, "present", "no such setting");
    }
  }

  static const json* Find(const json& in, const char* name) {
    const auto it = in.find(name);
    return it == in.end() ? nullptr : &*it;
  }

 private:
  static std::string Show(const json* value, bool secret) {
    if (value == nullptr) return "absent";
    if (secret) return "not shown";
    return value->dump(-1, ' ', false, json::error_handler_t::replace).substr(0, 80);
  }

  std::string file_;
  std::string faults_;
};

void ReadLog(SettingsReader& reader, const json& in, ClientSettings& settings) {
  const json* log = SettingsReader::Find(in, "log_service");
  if (log == nullptr || !log->is_object()) {
    reader.Fault("/log_service", log == nullptr ? "absent" : log->type_name(), "an object");
    return;
  }
  reader.CheckNames(*log, "/log_service", {"host", "port", "log"});
  settings.log_host = reader.Text(*log, "/log_service", "host");
  settings.log_port =
      static_cast<std::uint16_t>(reader.Integer(*log, "/log_service", "port", 1, 65535));
  if (log->contains("log")) settings.log = reader.Text(*log, "/log_service", "log");
}

void ReadInstances(SettingsReader& reader, const json& in, ClientSettings& settings) {
  const json* list = SettingsReader::Find(in, "instances");
  if (list == nullptr) return;
  if (!list->is_array()) {
    reader.Fault("/instances", list->type_name(), "a list of objects");
    return;
  }
  for (std::size_t n = 0; n < list->size(); ++n) {
    const std::string at = "/instances/" + std::to_string(n);
    const json& entry = (*list)[n];
    if (!entry.is_object()) {
      reader.Fault(at, entry.type_name(), "an object");
      continue;
    }
    reader.CheckNames(entry, at, {"name", "host", "port"});
    InstanceAddress instance{reader.Text(entry, at, "name"), reader.Text(entry, at, "host")};
    instance.port = static_cast<std::uint16_t>(reader.Integer(entry, at, "port", 1, 65535));
    settings.instances.push_back(std::move(instance));
  }
}

Duration ReadMs(SettingsReader& reader, const json& in, const char* name, Duration fallback) {
  if (!in.contains(name)) return fallback;
  return std::chrono::milliseconds(reader.Integer(in, "", name, 1, kMaxWaitMs));
}

}  // namespace

ClientSettings ReadClientSettings(std::string_view file, std::string_view text) {
  SettingsReader reader(file);
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object()) {
    reader.Fault("", in.is_discarded() ? "not JSON" : in.type_name(), "a JSON object");
    reader.Finish();
  }
  reader.CheckNames(in, "",
                    {"actor", "log_service", "instances", "operator_secret", "log_wait_ms",
                     "in_force_wait_ms", "answer_timeout_ms"});
  ClientSettings settings;
  settings.actor = reader.Text(in, "", "actor");
  ReadLog(reader, in, settings);
  ReadInstances(reader, in, settings);
  if (in.contains("operator_secret")) {
    settings.operator_secret = reader.Text(in, "", "operator_secret", true);
  }
  settings.log_wait = ReadMs(reader, in, "log_wait_ms", settings.log_wait);
  settings.in_force_wait = ReadMs(reader, in, "in_force_wait_ms", settings.in_force_wait);
  settings.answer_timeout = ReadMs(reader, in, "answer_timeout_ms", settings.answer_timeout);
  reader.Finish();
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
