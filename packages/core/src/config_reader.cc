#include "dogwoodport/core/config_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "dogwoodport/core/detail/json_text.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxExcerptBytes = 80;
constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kMaxSecrets = 2;
constexpr std::uint64_t kMaxShards = 65536;
constexpr std::uint64_t kMaxDurationMs = 3'600'000;
constexpr double kMaxRate = 1e9;
constexpr double kShareTolerance = 1e-6;

std::string Excerpt(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxExcerptBytes) text = text.substr(0, kMaxExcerptBytes) + "...";
  return text;
}

std::string FormatFaults(const std::vector<ConfigFault>& faults) {
  std::string text = "the configuration is invalid:";
  for (const ConfigFault& fault : faults) {
    text += "\n  " + (fault.pointer.empty() ? std::string("/") : fault.pointer) + ": " +
            fault.value + ", expected " + fault.expectation;
  }
  return text;
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return text.front() != '-' && std::all_of(text.begin(), text.end(), allowed);
}

bool IsHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool IsToken(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsAddress(const std::string& text) {
  in6_addr buf;
  return inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

bool IsMethod(std::string_view text) {
  constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                        "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end();
}

std::string EscapePointerToken(std::string_view name) {
  std::string text;
  for (const char c : name) {
    if (c == '~') {
      text += "~0";
    } else if (c == '/') {
      text += "~1";
    } else {
      text += c;
    }
  }
  return text;
}

/// Reads the fields of one object and collects faults. Tracks the names of known fields, so that
/// `Finish` can report the others.
class ObjectReader {
 public:
  ObjectReader(const json& in, std::string pointer, std::vector<ConfigFault>& faults)
      : in_(in), pointer_(std::move(pointer)), faults_(faults) {
    if (!in_.is_object()) Fault(pointer_, in_, "an object");
  }

  /// Returns the value of an optional field, or nullptr.
  const json* Find(const char* name) {
    known_fields_.push_back(name);
    if (!in_.is_object()) return nullptr;
    const auto it = in_.find(name);
    return it == in_.end() ? nullptr : &*it;
  }

  /// Returns the value of a required field. If it is absent, adds a fault and returns nullptr.
  const json* Require(const char* name, std::string_view expectation) {
    const json* value = Find(name);
    if (value == nullptr && in_.is_object()) {
      faults_.push_back({Pointer(name), "absent", std::string(expectation)});
    }
    return value;
  }

  std::string Text(const char* name, std::string_view expectation, auto accept) {
    const json* value = Require(name, expectation);
    if (value == nullptr) return {};
    if (value->is_string() && accept(value->get_ref<const std::string&>())) {
      return value->get<std::string>();
    }
    Fault(Pointer(name), *value, expectation);
    return {};
  }

  std::string Name(const char* name) {
    return Text(name, "a name of at most 63 of a-z, 0-9, '.', '_', '-'", IsName);
  }

  bool Boolean(const char* name, bool fallback) {
    const json* value = Find(name);
    if (value == nullptr) return fallback;
    if (value->is_boolean()) return value->get<bool>();
    Fault(Pointer(name), *value, "true or false");
    return fallback;
  }

  std::optional<std::uint64_t> OptionalInteger(const char* name, std::uint64_t low,
                                               std::uint64_t high) {
    const json* value = Find(name);
    if (value == nullptr) return std::nullopt;
    if (value->is_number_integer() && (value->is_number_unsigned() || *value >= 0)) {
      const auto n = value->get<std::uint64_t>();
      if (n >= low && n <= high) return n;
    }
    Fault(Pointer(name), *value,
          "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return std::nullopt;
  }

  std::optional<double> OptionalNumber(const char* name, double low, double high) {
    const json* value = Find(name);
    if (value == nullptr) return std::nullopt;
    if (value->is_number()) {
      const auto n = value->get<double>();
      if (std::isfinite(n) && n >= low && n <= high) return n;
    }
    Fault(Pointer(name), *value, "a number from " + json(low).dump() + " to " + json(high).dump());
    return std::nullopt;
  }

  /// Calls `read(item, pointer)` for each item of a list. An absent list counts as empty.
  template <typename Read>
  void List(const char* name, Read read) {
    const json* value = Find(name);
    if (value == nullptr) return;
    if (!value->is_array()) {
      Fault(Pointer(name), *value, "a list");
      return;
    }
    for (std::size_t n = 0; n < value->size(); ++n) {
      read((*value)[n], Pointer(name) + "/" + std::to_string(n));
    }
  }

  /// Adds a fault for each unknown field. Most of these are misspelt names of optional fields.
  void Finish() {
    if (!in_.is_object()) return;
    for (const auto& [name, value] : in_.items()) {
      const bool known =
          std::find(known_fields_.begin(), known_fields_.end(), name) != known_fields_.end();
      if (!known) Fault(Pointer(name), value, "no such field");
    }
  }

  void Fault(const std::string& pointer, const json& value, std::string_view expectation) {
    faults_.push_back({pointer, Excerpt(value), std::string(expectation)});
  }

  std::string Pointer(std::string_view name) const {
    return pointer_ + "/" + EscapePointerToken(name);
  }

 private:
  const json& in_;
  std::string pointer_;
  std::vector<ConfigFault>& faults_;
  /// Names of known fields, which are string literals. A vector, because a set would allocate
  /// memory for each field of each target.
  std::vector<std::string_view> known_fields_;
};

/// Names of one kind of entity. Adds a fault for a duplicate name, or one whose hash equals that of
/// another name: ids of entities are hashes of their names.
class NameTable {
 public:
  void Add(const std::string& name, const std::string& pointer, std::vector<ConfigFault>& faults) {
    if (name.empty()) return;
    const auto [it, added] = names_.emplace(detail::HashText(name), name);
    if (added) return;
    faults.push_back({pointer, json(name).dump(),
                      it->second == name ? "a name that is not used twice"
                                         : "a name with another hash than '" + it->second + "'"});
  }

  bool Has(const std::string& name) const { return names_.contains(detail::HashText(name)); }

 private:
  std::unordered_map<std::uint64_t, std::string> names_;
};

/// Reads one document. Sections are read in an order in which each refers only to earlier ones.
class DocumentReader {
 public:
  DocumentReader(const json& document, std::int64_t unix_ms)
      : root_(document, "", faults_), unix_ms_(unix_ms) {}

  Config Read() {
    ReadDefaults();
    root_.List("data_centres", [&](const json& in, const std::string& at) { DataCentre(in, at); });
    CheckShares();
    root_.List("services", [&](const json& in, const std::string& at) { Service(in, at); });
    root_.List("routes", [&](const json& in, const std::string& at) { Route(in, at); });
    root_.List("accounts", [&](const json& in, const std::string& at) { Account(in, at); });
    root_.List("targets", [&](const json& in, const std::string& at) { Target(in, at); });
    root_.List("exceptions", [&](const json& in, const std::string& at) { Exception(in, at); });
    root_.Finish();
    if (!faults_.empty()) throw ConfigError(std::move(faults_));
    return std::move(config_);
  }

 private:
  ObjectReader ReaderFor(const json& in, const std::string& at) { return {in, at, faults_}; }

  void ReadDefaults() {
    const json* in = root_.Find("defaults");
    if (in == nullptr) return;
    ObjectReader fields = ReaderFor(*in, "/defaults");
    DefaultLimits& limits = config_.defaults;
    limits.rate = fields.OptionalNumber("rate", 0, kMaxRate).value_or(limits.rate);
    limits.burst = fields.OptionalNumber("burst", 1, kMaxRate).value_or(limits.burst);
    limits.weight = fields.OptionalNumber("weight", 0.001, 1000).value_or(limits.weight);
    fields.Finish();
  }

  void DataCentre(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    DataCentreConfig entry;
    entry.name = fields.Name("name");
    entry.id = DataCentreId::FromName(entry.name);
    const auto share = fields.OptionalNumber("rate_share", 0, 1);
    explicit_shares_ += share ? 1 : 0;
    entry.rate_share = share.value_or(0);
    fields.Finish();
    data_centres_.Add(entry.name, at + "/name", faults_);
    config_.data_centres.push_back(std::move(entry));
  }

  /// If no data centre specifies `rate_share`, all get equal shares. Otherwise all must specify it,
  /// and the shares must add up to 1.
  void CheckShares() {
    auto& list = config_.data_centres;
    if (list.empty()) return;
    if (explicit_shares_ == 0) {
      for (auto& entry : list) entry.rate_share = 1.0 / static_cast<double>(list.size());
      return;
    }
    double sum = 0;
    for (const auto& entry : list) sum += entry.rate_share;
    if (explicit_shares_ == list.size() && std::abs(sum - 1) <= kShareTolerance) return;
    faults_.push_back({"/data_centres", "rate_share sums to " + json(sum).dump(),
                       "rate_share in no data centre, or in all with the sum 1"});
  }

  void Service(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    ServiceConfig entry;
    entry.name = fields.Name("name");
    entry.id = ServiceId::FromName(entry.name);
    entry.keyed = fields.Boolean("keyed", false);
    if (const auto n = fields.OptionalInteger("shards", 1, kMaxShards)) {
      entry.shard_count = static_cast<std::uint32_t>(*n);
    }
    ReadIsolation(fields, entry, at);
    fields.Finish();
    services_.Add(entry.name, at + "/name", faults_);
    if (entry.keyed) keyed_services_.insert(entry.name);
    config_.services.push_back(std::move(entry));
  }

  void ReadIsolation(ObjectReader& fields, ServiceConfig& entry, const std::string& at) {
    const auto bound = fields.OptionalInteger("isolation_bound_ms", 1000, kMaxDurationMs);
    const json* policy = fields.Find("on_isolation");
    if (policy != nullptr && *policy == "yield") {
      YieldOnIsolation yield;
      if (bound) yield.bound = std::chrono::milliseconds(*bound);
      entry.on_isolation = yield;
      return;
    }
    if (policy != nullptr && *policy != "hold") {
      fields.Fault(at + "/on_isolation", *policy, "\"hold\" or \"yield\"");
    } else if (bound) {
      fields.Fault(at + "/isolation_bound_ms", *bound, "no bound unless on_isolation is \"yield\"");
    }
  }

  /// Returns the entity name in field `name`. Adds a fault if it is not in `table`.
  std::string Reference(ObjectReader& fields, const char* name, const NameTable& table,
                        const std::string& kind) {
    std::string text = fields.Name(name);
    if (!text.empty() && !table.Has(text)) {
      faults_.push_back({fields.Pointer(name), json(text).dump(), "the name of a " + kind});
    }
    return text;
  }

  void Route(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    RouteConfig entry;
    entry.name = fields.Name("name");
    entry.id = RouteId::FromName(entry.name);
    entry.path_prefix = fields.Text("path_prefix", "a path that starts with '/' and not with '/-/'",
                                    [](const std::string& text) {
                                      return text.starts_with('/') && !text.starts_with("/-/") &&
                                             text.size() <= kMaxTextBytes;
                                    });
    ReadMethods(fields, entry);
    const std::string service = Reference(fields, "service", services_, "service");
    entry.service = ServiceId::FromName(service);
    if (const json* key = fields.Find("key")) entry.key = ReadKey(*key, at + "/key");
    entry.repeatable = fields.Boolean("repeatable", true);
    entry.open_to_all = fields.Boolean("open_to_all", false);
    if (const auto n = fields.OptionalInteger("deadline_ms", 1, kMaxDurationMs)) {
      entry.default_deadline = std::chrono::milliseconds(*n);
    }
    fields.Finish();
    CheckRoute(entry, service, in, at);
    routes_.Add(entry.name, at + "/name", faults_);
    config_.routes.push_back(std::move(entry));
  }

  void ReadMethods(ObjectReader& fields, RouteConfig& entry) {
    fields.List("methods", [&](const json& in, const std::string& at) {
      if (in.is_string() && IsMethod(in.get_ref<const std::string&>())) {
        entry.methods.push_back(in.get<std::string>());
      } else {
        fields.Fault(at, in, "one of GET, HEAD, POST, PUT, PATCH, DELETE");
      }
    });
  }

  std::optional<KeyLocation> ReadKey(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    std::optional<KeyLocation> key;
    const auto any = [](const std::string&) { return true; };
    const std::string location = fields.Text("in", "\"path\", \"query\" or \"header\"", any);
    if (location == "path") {
      fields.Require("segment", "the index of a path segment");
      key = KeyInPath{
          static_cast<std::uint32_t>(fields.OptionalInteger("segment", 0, 63).value_or(0))};
    } else if (location == "query") {
      key = KeyInQuery{fields.Text("name", "the name of a query parameter", IsToken)};
    } else if (location == "header") {
      key = KeyInHeader{fields.Text("name", "the name of a header field", IsToken)};
    } else if (!location.empty()) {
      fields.Fault(at + "/in", location, "\"path\", \"query\" or \"header\"");
    }
    fields.Finish();
    return key;
  }

  void CheckRoute(const RouteConfig& entry, const std::string& service, const json& in,
                  const std::string& at) {
    if (!services_.Has(service)) return;
    const bool keyed = keyed_services_.contains(service);
    if (keyed && !in.contains("key")) {
      faults_.push_back({at + "/key", "absent", "a key, since the service is keyed"});
    }
    if (!keyed && in.contains("key")) {
      faults_.push_back(
          {at + "/key", Excerpt(in["key"]), "no key, since the service is not keyed"});
    }
    if (entry.open_to_all && !entry.repeatable) {
      faults_.push_back({at + "/open_to_all", "true",
                         "false on a route that may not be repeated, since an order belongs to an "
                         "account"});
    }
    CheckOverlap(entry, at);
  }

  /// Adds a fault if an earlier route with the same prefix accepts the same method.
  void CheckOverlap(const RouteConfig& entry, const std::string& at) {
    auto& used_methods = methods_by_prefix_[entry.path_prefix];
    const std::vector<std::string> all = {"*"};
    for (const std::string& method : entry.methods.empty() ? all : entry.methods) {
      const bool overlaps = used_methods.contains(method) || used_methods.contains("*") ||
                            (method == "*" && !used_methods.empty());
      if (overlaps) {
        faults_.push_back({at + "/methods", json(method).dump(),
                           "methods that no other route with this path_prefix takes"});
      }
      used_methods.insert(method);
    }
  }

  void Account(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    AccountConfig entry;
    entry.name = fields.Name("name");
    entry.id = AccountId::FromName(entry.name);
    const DefaultLimits& limits = config_.defaults;
    entry.rate = fields.OptionalNumber("rate", 0, kMaxRate).value_or(limits.rate);
    entry.burst = fields.OptionalNumber("burst", 1, kMaxRate).value_or(limits.burst);
    entry.weight = fields.OptionalNumber("weight", 0.001, 1000).value_or(limits.weight);
    fields.List("secrets", [&](const json& secret, const std::string& pointer) {
      entry.secrets.push_back(Secret(secret, pointer));
    });
    if (entry.secrets.size() > kMaxSecrets) {
      faults_.push_back({at + "/secrets", std::to_string(entry.secrets.size()) + " secrets",
                         "at most two secrets"});
    }
    fields.Finish();
    accounts_.Add(entry.name, at + "/name", faults_);
    account_index_.emplace(entry.name, config_.accounts.size());
    config_.accounts.push_back(std::move(entry));
  }

  SecretConfig Secret(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    SecretConfig secret;
    secret.key_id = fields.Text("key_id", "a key id of at most 63 letters, digits, '_' or '-'",
                                [](const std::string& text) {
                                  return IsToken(text) && text.find('.') == std::string::npos;
                                });
    secret.salt_hex = fields.Text(
        "salt", "16 to 64 hexadecimal digits in lower case", [](const std::string& text) {
          return IsHex(text) && text.size() >= 16 && text.size() <= 64 && text.size() % 2 == 0;
        });
    secret.hash_hex =
        fields.Text("hash", "64 hexadecimal digits in lower case (SHA-256 of salt and secret)",
                    [](const std::string& text) { return IsHex(text) && text.size() == 64; });
    fields.Finish();
    key_ids_.Add(secret.key_id, at + "/key_id", faults_);
    return secret;
  }

  void Target(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    TargetConfig entry;
    entry.name = fields.Name("name");
    entry.id = TargetId::FromName(entry.name);
    entry.service = ServiceId::FromName(Reference(fields, "service", services_, "service"));
    entry.data_centre =
        DataCentreId::FromName(Reference(fields, "data_centre", data_centres_, "data centre"));
    entry.host = fields.Text("host", "an IPv4 or IPv6 address", IsAddress);
    fields.Require("port", "an integer from 1 to 65535");
    entry.port = static_cast<std::uint16_t>(fields.OptionalInteger("port", 1, 65535).value_or(0));
    entry.slots =
        static_cast<std::uint32_t>(fields.OptionalInteger("slots", 1, 4096).value_or(entry.slots));
    entry.connections = static_cast<std::uint32_t>(
        fields.OptionalInteger("connections", 1, 65535).value_or(entry.connections));
    entry.weight = fields.OptionalNumber("weight", 0.001, 1000).value_or(entry.weight);
    entry.checks_grants = fields.Boolean("checks_grants", false);
    entry.honours_deadlines = fields.Boolean("honours_deadlines", false);
    fields.Finish();
    targets_.Add(entry.name, at + "/name", faults_);
    CheckEndpoint(entry, at);
    config_.targets.push_back(std::move(entry));
  }

  /// Adds a fault if an earlier target has the same address. Both would count as separate servers,
  /// but share the slots of one.
  void CheckEndpoint(const TargetConfig& entry, const std::string& at) {
    if (entry.host.empty() || entry.port == 0) return;
    const std::string endpoint = entry.host + ":" + std::to_string(entry.port);
    if (!endpoints_.insert(endpoint).second) {
      faults_.push_back({at + "/port", endpoint, "an address that no other target has"});
    }
  }

  void Exception(const json& in, const std::string& at) {
    ObjectReader fields = ReaderFor(in, at);
    ExceptionConfig entry;
    entry.account = Reference(fields, "account", accounts_, "client account");
    entry.rate = fields.OptionalNumber("rate", 0, kMaxRate);
    entry.burst = fields.OptionalNumber("burst", 1, kMaxRate);
    entry.weight = fields.OptionalNumber("weight", 0.001, 1000);
    entry.reason =
        fields.Text("reason", "a reason of 1 to 1024 bytes", [](const std::string& text) {
          return text.find_first_not_of(" \t\n") != std::string::npos &&
                 text.size() <= kMaxTextBytes;
        });
    constexpr std::uint64_t kMaxTimeMs = 253'402'300'799'999;  // 9999-12-31T23:59:59.999Z
    if (const auto n = fields.OptionalInteger("ends_at_ms", 0, kMaxTimeMs)) {
      entry.ends_at_ms = static_cast<std::int64_t>(*n);
    }
    fields.Finish();
    if (!entry.account.empty() && !accounts_with_exception_.insert(entry.account).second) {
      faults_.push_back({at + "/account", json(entry.account).dump(),
                         "an account that no other exception names"});
    }
    ApplyException(entry);
    config_.exceptions.push_back(std::move(entry));
  }

  void ApplyException(const ExceptionConfig& entry) {
    const auto it = account_index_.find(entry.account);
    if (it == account_index_.end()) return;
    if (entry.ends_at_ms && *entry.ends_at_ms <= unix_ms_) return;
    AccountConfig& account = config_.accounts[it->second];
    account.rate = entry.rate.value_or(account.rate);
    account.burst = entry.burst.value_or(account.burst);
    account.weight = entry.weight.value_or(account.weight);
  }

  std::vector<ConfigFault> faults_;
  ObjectReader root_;
  std::int64_t unix_ms_;
  Config config_;
  std::size_t explicit_shares_ = 0;
  NameTable data_centres_;
  NameTable services_;
  NameTable routes_;
  NameTable accounts_;
  NameTable targets_;
  NameTable key_ids_;
  std::set<std::string> keyed_services_;
  std::unordered_set<std::string> endpoints_;
  std::set<std::string> accounts_with_exception_;
  std::unordered_map<std::string, std::set<std::string>> methods_by_prefix_;
  std::unordered_map<std::string, std::size_t> account_index_;
};

/// Parser callback that adds a fault for each duplicate name in an object.
class DuplicateFinder {
 public:
  explicit DuplicateFinder(std::vector<ConfigFault>& faults) : faults_(faults) {}

  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    using Event = json::parse_event_t;
    if (event == Event::object_start) names_of_open_objects_.emplace_back();
    if (event == Event::object_end) names_of_open_objects_.pop_back();
    if (event == Event::key &&
        !names_of_open_objects_.back().insert(parsed.get<std::string>()).second) {
      faults_.push_back({"", Excerpt(parsed), "a name that its object gives once"});
    }
    return true;
  }

 private:
  std::vector<ConfigFault>& faults_;
  std::vector<std::set<std::string>> names_of_open_objects_;
};

}  // namespace

ConfigError::ConfigError(std::vector<ConfigFault> faults)
    : Error(FormatFaults(faults)), faults_(std::move(faults)) {}

nlohmann::json ParseConfigText(std::string_view text) {
  if (detail::NestsTooDeep(text)) {
    throw ConfigError({{"", "deep nesting", "at most 32 levels of lists and objects"}});
  }
  std::vector<ConfigFault> faults;
  DuplicateFinder finder(faults);
  try {
    const json::parser_callback_t callback = std::ref(finder);
    json document = json::parse(text, callback);
    if (!faults.empty()) throw ConfigError(std::move(faults));
    return document;
  } catch (const json::exception& e) {
    throw ConfigError({{"", e.what(), "a JSON document"}});
  }
}

Config ReadConfig(const nlohmann::json& document, std::int64_t unix_ms) {
  return DocumentReader(document, unix_ms).Read();
}

}  // namespace dogwoodport
