#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dogwoodport/daemon/settings.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

json ValidSettings() {
  return json::parse(R"({
    "instance": "howrah-1", "data_centre": "howrah",
    "entry": {"port": 8080},
    "operators": {"port": 8081,
                  "secret": {"salt_hex": "00112233445566778899aabbccddeeff",
                             "hash_hex": "0000000000000000000000000000000000000000000000000000000000000000"}},
    "mesh": {"listen": "127.0.0.1:7001", "max_message_bytes": 16777216, "peers": [
      {"instance": "howrah-2", "data_centre": "howrah", "address": "127.0.0.1:7002"}]},
    "log_service": {"host": "127.0.0.1", "port": 9000}})");
}

std::string ErrorOf(const json& document) {
  try {
    ReadSettings("s.json", document.dump());
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

}  // namespace

TEST_CASE("valid settings are read") {
  const Settings settings = ReadSettings("s.json", ValidSettings().dump());
  CHECK(settings.instance == "howrah-1");
  CHECK(settings.entry.port == 8080);
  CHECK(settings.mesh.peers.at(0).address == "127.0.0.1:7002");
  CHECK(settings.operators.secret.has_value());
}

TEST_CASE("each error contains file, pointer, value and expectation") {
  struct Case {
    const char* pointer;
    json value;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"/instance", 7, "s.json: /instance: 7, expected a non-empty string"},
      {"/entry/port", 70000, "s.json: /entry/port: 70000, expected an integer from 0 to 65535"},
      {"/entry/prot", 1, "s.json: /entry/prot: 1, expected no such setting"},
      {"/entry/host", "localhost", "s.json: /entry/host: \"localhost\", expected an IP address"},
      {"/mesh/listen", "x", "s.json: /mesh/listen: \"x\", expected an address"},
      {"/mesh/peers/0/address", 1, "s.json: /mesh/peers/0/address: 1, expected an address"},
      {"/mesh/max_message_bytes", 65536, "/mesh/max_message_bytes: 65536, expected at least twice"},
      {"/log_service/port", 0, "/log_service/port: 0, expected an integer from 1 to 65535"},
      {"/shutdown", json::array(), "/shutdown: [], expected an object"},
      {"/forward_workers", "many", "/forward_workers: \"many\", expected an integer"},
      {"/entry/header_timeout_ms", 0, "/entry/header_timeout_ms: 0, expected an integer from 1"},
  };
  for (const Case& c : cases) {
    json document = ValidSettings();
    document[json::json_pointer(c.pointer)] = c.value;
    INFO(c.pointer);
    CHECK_THAT(ErrorOf(document), Catch::Contains(c.expected));
  }
}

TEST_CASE("all errors are reported together") {
  json document = ValidSettings();
  document.erase("data_centre");
  document["entry"]["port"] = -1;
  const std::string text = ErrorOf(document);
  CHECK_THAT(text, Catch::Contains("/data_centre") && Catch::Contains("/entry/port"));
}

TEST_CASE("an invalid hash value is not shown") {
  // Guards against printing a plain secret that was entered instead of its hash.
  json document = ValidSettings();
  document["operators"]["secret"]["hash_hex"] = "k1.plain-secret";
  CHECK_THAT(ErrorOf(document), !Catch::Contains("plain-secret"));
}

TEST_CASE("invalid JSON and unreadable files are reported") {
  CHECK_THROWS_AS(ReadSettings("s.json", "{"), SettingsError);
  CHECK_THROWS_AS(LoadSettings("/nonexistent/s.json"), SettingsError);
}

}  // namespace dogwoodport
