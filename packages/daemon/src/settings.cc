#include "dogwoodport/daemon/settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxShownChars = 80;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;
constexpr std::int64_t kMaxBytes = std::int64_t{1} << 30U;

/// Collects the errors of a settings file, so that all of them are reported together.
class ErrorList {
 public:
  explicit ErrorList(std::string_view file) : file_(file) {}

  void Add(const std::string& pointer, const json& value, const std::string& expected) {
    std::string shown = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (shown.size() > kMaxShownChars) shown = shown.substr(0, kMaxShownChars) + "...";
    error_text_ += (error_text_.empty() ? "" : "\n") + file_ + ": " +
                   (pointer.empty() ? "/" : pointer) + ": " + shown + ", expected " + expected;
  }

  void ThrowIfAny() const {
    if (!error_text_.empty()) throw SettingsError(error_text_);
  }

 private:
  std::string file_;
  std::string error_text_;
};

/// Reads the members of a JSON object. `ReportUnknownMembers` reports the members that were not
/// read.
class ObjectReader {
 public:
  ObjectReader(const json& value, std::string pointer, ErrorList& errors)
      : value_(value), pointer_(std::move(pointer)), errors_(errors) {
    if (!value_.is_object()) errors_.Add(pointer_, value_, "an object");
  }

  /// Returns the member or null, and marks its name as known.
  const json* Find(const std::string& name, bool required = false) {
    requested_names_.insert(name);
    if (!value_.is_object()) return nullptr;
    const auto it = value_.find(name);
    if (it != value_.end()) return &*it;
    if (required) errors_.Add(PointerTo(name), json(), "a value");
    return nullptr;
  }

  void ReadText(const std::string& name, std::string& out, bool required = false) {
    const json* item = Find(name, required);
    if (item == nullptr) return;
    if (!item->is_string() || item->get_ref<const std::string&>().empty()) {
      errors_.Add(PointerTo(name), *item, "a non-empty string");
      return;
    }
    out = item->get<std::string>();
  }

  template <typename Number>
  void ReadInteger(const std::string& name, Number& out, std::int64_t min, std::int64_t max,
                   bool required = false) {
    const json* item = Find(name, required);
    if (item == nullptr) return;
    if (!item->is_number_integer() || item->get<std::int64_t>() < min ||
        item->get<std::int64_t>() > max) {
      errors_.Add(PointerTo(name), *item,
                  "an integer from " + std::to_string(min) + " to " + std::to_string(max));
      return;
    }
    out = static_cast<Number>(item->get<std::int64_t>());
  }

  void ReadMilliseconds(const std::string& name, std::chrono::milliseconds& out,
                        std::int64_t min = 1) {
    std::int64_t n = out.count();
    ReadInteger(name, n, min, kMaxMilliseconds);
    out = std::chrono::milliseconds(n);
  }

  /// Reads an address of the form `<IP address>:<port>`.
  void ReadAddress(const std::string& name, std::string& out, bool required = false) {
    const json* item = Find(name, required);
    if (item == nullptr) return;
    if (!item->is_string() || !IsAddress(item->get<std::string>())) {
      errors_.Add(PointerTo(name), *item, "an address <IP address>:<port>");
      return;
    }
    out = item->get<std::string>();
  }

  void ReadHost(const std::string& name, std::string& out) {
    const json* item = Find(name);
    if (item == nullptr) return;
    Poco::Net::IPAddress address;
    if (!item->is_string() || !Poco::Net::IPAddress::tryParse(item->get<std::string>(), address)) {
      errors_.Add(PointerTo(name), *item, "an IP address");
      return;
    }
    out = item->get<std::string>();
  }

  void ReadHex(const std::string& name, std::string& out, std::size_t min, std::size_t max) {
    const json* item = Find(name, true);
    if (item == nullptr) return;
    const std::string text = item->is_string() ? item->get<std::string>() : "";
    const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (!is_hex || text.size() < min || text.size() > max || text.size() % 2 != 0) {
      // The value may be a plain secret that was entered by mistake, so it is not shown.
      errors_.Add(PointerTo(name), "(not shown)",
                  std::to_string(min) + " to " + std::to_string(max) + " hexadecimal digits");
      return;
    }
    out = text;
  }

  std::string PointerTo(const std::string& name) const { return pointer_ + "/" + name; }

  void ReportUnknownMembers() {
    if (!value_.is_object()) return;
    for (const auto& [name, item] : value_.items()) {
      if (requested_names_.count(name) == 0) errors_.Add(PointerTo(name), item, "no such setting");
    }
  }

  ErrorList& errors() { return errors_; }

 private:
  static bool IsAddress(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    Poco::Net::IPAddress ip;
    if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), ip)) return false;
    const std::string port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 &&
           port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) <= 65535;
  }

  const json& value_;
  std::string pointer_;
  ErrorList& errors_;
  std::set<std::string> requested_names_;
};

/// Reads the object `name` with `read`, if it is present.
template <typename Read>
void ReadObject(ObjectReader& parent, const std::string& name, bool required, Read read) {
  const json* item = parent.Find(name, required);
  if (item == nullptr) return;
  ObjectReader object(*item, parent.PointerTo(name), parent.errors());
  read(object);
  object.ReportUnknownMembers();
}

void ReadEntry(ObjectReader& in, EntrySettings& out) {
  in.ReadHost("host", out.host);
  in.ReadInteger("port", out.port, 0, 65535);
  in.ReadInteger("max_connections", out.max_connections, 1, 65536);
  in.ReadInteger("max_header_bytes", out.max_header_bytes, 1024, 1 << 20);
  in.ReadInteger("max_body_bytes", out.max_body_bytes, 0, kMaxBytes);
  in.ReadMilliseconds("header_timeout_ms", out.header_timeout);
  in.ReadMilliseconds("body_timeout_ms", out.body_timeout);
  in.ReadMilliseconds("write_timeout_ms", out.write_timeout);
  in.ReadMilliseconds("idle_timeout_ms", out.idle_timeout);
}

void ReadOperators(ObjectReader& in, OperatorSettings& out) {
  ReadEntry(in, out.entry);
  ReadObject(in, "secret", false, [&out](ObjectReader& secret) {
    out.secret.emplace();
    secret.ReadHex("salt_hex", out.secret->salt_hex, 16, 128);
    secret.ReadHex("hash_hex", out.secret->hash_hex, 64, 64);
  });
}

void ReadPeers(ObjectReader& in, std::vector<PeerSettings>& out) {
  const json* list = in.Find("peers");
  if (list == nullptr) return;
  if (!list->is_array()) {
    in.errors().Add(in.PointerTo("peers"), *list, "an array");
    return;
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string pointer = in.PointerTo("peers") + "/" + std::to_string(i);
    ObjectReader item((*list)[i], pointer, in.errors());
    PeerSettings peer;
    item.ReadText("instance", peer.instance, true);
    item.ReadText("data_centre", peer.data_centre, true);
    item.ReadAddress("address", peer.address, true);
    item.ReportUnknownMembers();
    if (!peer.instance.empty() && !names.insert(peer.instance).second) {
      in.errors().Add(pointer + "/instance", peer.instance, "a unique instance name");
    }
    out.push_back(std::move(peer));
  }
}

void ReadMesh(ObjectReader& in, MeshListenSettings& out) {
  in.ReadAddress("listen", out.listen, true);
  in.ReadInteger("max_message_bytes", out.max_message_bytes, 65536, kMaxBytes);
  ReadPeers(in, out.peers);
}

void ReadTargets(ObjectReader& in, TargetClientSettings& out) {
  in.ReadMilliseconds("connect_timeout_ms", out.connect_timeout);
  in.ReadMilliseconds("max_idle_time_ms", out.max_idle_time);
  in.ReadInteger("max_answer_bytes", out.max_answer_bytes, 1024, kMaxBytes);
  in.ReadInteger("max_header_bytes", out.max_header_bytes, 1024, 1 << 20);
  in.ReadInteger("max_idle_per_target", out.max_idle_per_target, 0, 65536);
}

void ReadRoot(ObjectReader& in, Settings& out) {
  in.ReadText("instance", out.instance, true);
  in.ReadText("data_centre", out.data_centre, true);
  ReadObject(in, "entry", true, [&out](ObjectReader& o) { ReadEntry(o, out.entry); });
  ReadObject(in, "operators", true, [&out](ObjectReader& o) { ReadOperators(o, out.operators); });
  ReadObject(in, "mesh", true, [&out](ObjectReader& o) { ReadMesh(o, out.mesh); });
  ReadObject(in, "targets", false, [&out](ObjectReader& o) { ReadTargets(o, out.targets); });
  ReadObject(in, "log_service", true, [&out](ObjectReader& o) {
    o.ReadText("host", out.log_service.host, true);
    o.ReadInteger("port", out.log_service.port, 1, 65535, true);
    o.ReadText("log", out.log_service.log);
  });
  ReadObject(in, "shutdown", false, [&out](ObjectReader& o) {
    o.ReadMilliseconds("load_balancer_wait_ms", out.shutdown.load_balancer_wait, 0);
    o.ReadMilliseconds("drain_timeout_ms", out.shutdown.drain_timeout);
  });
  in.ReadInteger("forward_workers", out.forward_workers, 1, 4096);
  if (in.Find("secret_max_staleness_ms") != nullptr) {
    std::chrono::milliseconds staleness{1};
    in.ReadMilliseconds("secret_max_staleness_ms", staleness);
    out.secret_max_staleness = staleness;
  }
}

/// Checks that a forwarded request or response fits into one mesh message.
void CheckSizes(const Settings& s, ErrorList& errors) {
  const std::size_t max_payload_bytes =
      std::max(s.entry.max_body_bytes + s.entry.max_header_bytes,
               s.targets.max_answer_bytes + s.targets.max_header_bytes);
  if (s.mesh.max_message_bytes < max_payload_bytes * 2) {
    errors.Add("/mesh/max_message_bytes", s.mesh.max_message_bytes,
               "at least twice the maximum size of a body with its header, " +
                   std::to_string(max_payload_bytes * 2));
  }
}

}  // namespace

Settings ReadSettings(std::string_view file, std::string_view text) {
  ErrorList errors(file);
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& e) {
    throw SettingsError(std::string(file) + ": /: not JSON at byte " + std::to_string(e.byte) +
                        ", expected a JSON object");
  }
  Settings settings;
  ObjectReader root(document, "", errors);
  ReadRoot(root, settings);
  root.ReportUnknownMembers();
  CheckSizes(settings, errors);
  errors.ThrowIfAny();
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw SettingsError(path + ": /: cannot be read, expected a readable file");
  std::ostringstream text;
  text << file.rdbuf();
  return ReadSettings(path, text.str());
}

}  // namespace dogwoodport
