#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "dogwoodport/platform/settings.h"
#include "dogwoodport/platform/store_client.h"
#include "dogwoodport/platform/wire_protocol.h"
#include "dogwoodport/standin/process.h"

namespace dogwoodport::platform {
namespace {

constexpr const char* kEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready",)"
    R"("coldRemaining":"1500ms","sequence":4,"born":1790000000000})";

TEST_CASE("a heartbeat record is decoded into a target entry", "[records]") {
  const fleet::TargetEntry entry = WireProtocol().ReadTarget("i-1", kEntry);
  CHECK(entry.id == "i-1");
  CHECK(entry.service == "s");
  CHECK(entry.data_centre == "z");
  CHECK(entry.slots == 6);
  CHECK(entry.phase == fleet::TargetPhase::kReady);
  CHECK(entry.cold_remaining == std::chrono::milliseconds(1500));
  CHECK(entry.incarnation == 1'790'000'000'000);
}

TEST_CASE("a malformed heartbeat record is rejected", "[records]") {
  const auto text = GENERATE(values<std::string>({
      "",
      "{",
      "[]",
      "\xff\xfe",
      "{}",
      R"({"service":"s"})",
  }));
  INFO(text);
  CHECK_THROWS(WireProtocol().ReadTarget("i-1", text));
}

/// The valid entry with one field replaced by other JSON text.
std::string EntryWith(const std::string& field, const std::string& value) {
  const std::string name = "\"" + field + "\":";
  std::string text = kEntry;
  const std::size_t begin = text.find(name) + name.size();
  std::size_t end = text.find(",\"", begin);
  if (end == std::string::npos) end = text.size() - 1;
  return text.replace(begin, end - begin, value);
}

// Guards against an entry of another writer that is taken for a new incarnation of a target.
TEST_CASE("an entry without one of its fields names no target", "[records][odd_entry]") {
  const auto field = GENERATE(
      values<std::string>({"service", "address", "zone", "slots", "state", "sequence", "born"}));
  INFO(field);
  std::string text = kEntry;
  text.replace(text.find("\"" + field + "\""), field.size() + 2, "\"other\"");
  CHECK_THROWS_AS(WireProtocol().ReadTarget("i-1", text), std::exception);
}

struct OddField {
  const char* field;
  const char* value;
};

// Guards against entries of other writers that are taken for targets, or whose conversion depends
// on the processor.
TEST_CASE("an entry with a field out of range names no target", "[records][odd_entry]") {
  const auto example = GENERATE(values<OddField>({
      {"address", R"("127.0.0.1:70000")"},
      {"address", R"("127.0.0.1:0")"},
      {"address", R"("127.0.0.1:-1")"},
      {"address", R"("127.0.0.1:+80")"},
      {"address", R"("127.0.0.1:")"},
      {"address", R"("127.0.0.1")"},
      {"address", R"("")"},
      {"address", R"("127.0.0.1:80\n")"},
      {"address", R"("127.0.0.1\n:80")"},
      {"address", R"("host.example:80")"},
      {"address", R"("0.0.0.0:80")"},
      {"address", R"("224.0.0.1:80")"},
      {"address", R"("[::1]:80")"},
      {"address", "[]"},
      {"slots", "1e300"},
      {"slots", "4.5"},
      {"slots", "-3"},
      {"slots", "0"},
      {"slots", R"("6")"},
      {"slots", "4294967300"},
      {"slots", "true"},
      {"slots", "1e999"},
      {"sequence", "1e30"},
      {"sequence", "-1"},
      {"sequence", "1.5"},
      {"sequence", "18446744073709551615"},
      {"sequence", "\"4\""},
      {"born", "0"},
      {"born", "-1"},
      {"born", "1.5"},
      {"born", "1e30"},
      {"born", "null"},
      {"born", "18446744073709551616"},
      {"state", R"("odd")"},
      {"state", "7"},
      {"service", "7"},
      {"service", R"("")"},
      {"service", R"("a b")"},
      {"zone", R"("z\r\nX: 1")"},
      {"zone", "{}"},
      {"coldRemaining", R"("-1ms")"},
      {"coldRemaining", R"("1e999s")"},
      {"coldRemaining", "7"},
  }));
  const std::string text = EntryWith(example.field, example.value);
  INFO(text);
  CHECK_THROWS_AS(WireProtocol().ReadTarget("i-1", text), std::exception);
}

TEST_CASE("an entry that is too large or nested too deeply names no target",
          "[records][odd_entry]") {
  const std::size_t depth = GENERATE(17U, 1'000U, 100'000U, 1'000'000U);
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  const std::string objects = [&] {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) text += "{\"a\":";
    return text + "1" + std::string(depth, '}');
  }();
  for (const std::string& it : {nested, objects, nested.substr(0, depth),
                                EntryWith("version", nested), EntryWith("version", objects),
                                EntryWith("version", "\"" + std::string(16'384, 'v') + "\"")}) {
    CHECK_THROWS_AS(WireProtocol().ReadTarget("i-1", it), std::exception);
  }
}

TEST_CASE("fields that are not known have no effect on an entry", "[records][odd_entry]") {
  const std::string text = EntryWith("version", R"({"a":[1,2.5,null,{"b":-7}]})");
  CHECK(WireProtocol().ReadTarget("i-1", text).slots == 6);
}

TEST_CASE("a record whose key cannot be written into a header field names no target",
          "[records][odd_entry]") {
  const auto id =
      GENERATE(values<std::string>({"", "a b", "a\r\nX: 1", "\xff\xfe", std::string(201, 'i')}));
  CHECK_THROWS_AS(WireProtocol().ReadTarget(id, kEntry), std::exception);
}

constexpr const char* kConfig =
    R"({"version":7,"services":[{"name":"s","maxConnections":63,"coldStart":"3s","coldPerS":21.0},)"
    R"({"name":"k","sharded":true}],"limits":{"maxHeaderBytes":1000,"idleTimeout":"15s"},)"
    R"("tenants":[{"name":"t","apiKeys":["x","y"],"priority":1,"ratePerS":10,"burst":5}],)"
    R"("hosts":[{"host":"h","paths":[{"name":"a","pathPrefix":"/a/","kind":"idempotent",)"
    R"("timeout":"1200ms","targetLatency":"200ms","priority":2,"trafficSplit":)"
    R"([{"service":"s","weight":90},{"service":"k","weight":10}],"attempts":2},)"
    R"({"name":"b","pathPrefix":"/a/b/","kind":"new_kind","timeout":"1s","service":"s",)"
    R"("attempts":0,"public":true}]}]})";

TEST_CASE("a configuration record is decoded and supports route, account and service lookups",
          "[records]") {
  const auto record = WireProtocol().ReadOperatorRecord("config", kConfig);
  REQUIRE(std::holds_alternative<fleet::RoutingConfigPtr>(record));
  const fleet::RoutingConfig& config = *std::get<fleet::RoutingConfigPtr>(record);
  CHECK(config.version() == 7);
  CHECK(config.limits().header_bytes == 1000);
  REQUIRE(config.FindRoute("h", "/a/b/c?q=/a/"));
  CHECK(config.FindRoute("h", "/a/b/c")->name == "b");
  CHECK(config.FindRoute("h", "/a/x")->name == "a");
  CHECK(config.FindRoute("h", "/a") == nullptr);
  CHECK(config.FindRoute("other", "/a/x") == nullptr);
  CHECK(config.FindRoute("h", "/a/x")->splits.size() == 2);
  // A route of an unknown kind is treated as non-idempotent.
  CHECK(config.FindRoute("h", "/a/b/c")->kind == fleet::RequestKind::kNonIdempotent);
  CHECK(config.FindRoute("h", "/a/b/c")->max_attempts == 1);
  CHECK(config.FindRoute("h", "/a/b/c")->is_public);
  CHECK(config.FindAccount("y")->name == "t");
  CHECK(config.FindAccount("z") == nullptr);
  CHECK(config.FindService("k")->keyed);
  CHECK(config.FindService("s")->cold_rate == 21.0);
}

struct AccountList {
  const char* description;
  const char* field;
  bool requires_secrets;
};

// Guards against a configuration whose list of accounts is empty and that opens all routes.
TEST_CASE("a configuration that contains accounts requires secrets even if there are none",
          "[records][empty_lists]") {
  const auto test_case = GENERATE(values<AccountList>({
      {"no list", "", false},
      {"an empty list", R"(,"tenants":[])", true},
      {"null", R"(,"tenants":null)", true},
      {"an account without secrets", R"(,"tenants":[{"name":"t","apiKeys":[]}])", true},
  }));
  INFO(test_case.description);
  const auto record = WireProtocol().ReadOperatorRecord(
      "config", R"({"version":1,"services":[],"hosts":[])" + std::string(test_case.field) + "}");
  REQUIRE(std::holds_alternative<fleet::RoutingConfigPtr>(record));
  const fleet::RoutingConfig& config = *std::get<fleet::RoutingConfigPtr>(record);
  CHECK(config.requires_secrets() == test_case.requires_secrets);
  CHECK(config.FindAccount("") == nullptr);
}

TEST_CASE("an invalid operator record yields the reason of the failure", "[records]") {
  const auto text = GENERATE(values<std::string>(
      {"", "{}", "nonsense", R"({"version":1,"services":[],"hosts":[{"host":"h"}]})",
       R"({"version":1,"services":[{"name":"s","coldStart":"soon"}],"hosts":[]})",
       R"({"version":1,"services":[],"hosts":[],"tenants":[{"name":"","apiKeys":["k"]}]})"}));
  INFO(text);
  const auto record = WireProtocol().ReadOperatorRecord("config", text);
  REQUIRE(std::holds_alternative<fleet::Unusable>(record));
  CHECK_FALSE(std::get<fleet::Unusable>(record).reason.empty());
}

TEST_CASE("a withdrawal record contains its data centre in its key", "[records]") {
  const WireProtocol protocol;
  CHECK(protocol.WithdrawalKey("evacuate/z") == "z");
  CHECK_FALSE(protocol.WithdrawalKey("config"));
  CHECK(std::holds_alternative<fleet::Unusable>(protocol.ReadOperatorRecord("other", "{}")));
}

std::string MakeReadHeader(std::uint64_t end) {
  std::string out(16, '\0');
  out[7] = static_cast<char>(end);
  return out;
}

TEST_CASE("records of a read response get consecutive offsets", "[records]") {
  const std::string body = MakeReadHeader(12) + EncodeRecord("a", "one") + EncodeRecord("b", "");
  const fleet::StoreRecords records = DecodeRecords(body, 10);
  CHECK(records.end == 12);
  REQUIRE(records.records.size() == 2);
  CHECK(records.records[0].offset == 10);
  CHECK(records.records[0].key == "a");
  CHECK(records.records[0].value == "one");
  CHECK(records.records[1].offset == 11);
  CHECK_FALSE(records.records[1].value);
}

TEST_CASE("a truncated read response is rejected", "[records]") {
  const std::string body = MakeReadHeader(11) + EncodeRecord("a", "one");
  for (std::size_t n = 0; n < body.size(); ++n) {
    if (n == 16) continue;  // A valid response without records.
    CHECK_THROWS(DecodeRecords(body.substr(0, n), 10));
  }
}

TEST_CASE("a record whose key exceeds its length gets an empty key", "[records]") {
  std::string record = EncodeRecord("abc", "");
  record[4] = 9;  // The key length exceeds the length of the record.
  const fleet::StoreRecords records = DecodeRecords(MakeReadHeader(1) + record, 0);
  REQUIRE(records.records.size() == 1);
  CHECK(records.records[0].key.empty());
  CHECK_FALSE(records.records[0].value);
}

constexpr const char* kSettings =
    R"({"instance":"e1","data_centre":"z","ip":"10.0.0.1","callers":"10.0.0.1:1",)"
    R"("readiness":"10.0.0.1:2","internal_ports":[7340,7355],"store":"10.9.0.1:3",)"
    R"("descriptors":4100,"memory_mb":160,"bounds":{"secret_withdrawal":"4000ms","retry_ratio":0.3}})";

TEST_CASE("absent settings have their default values", "[records]") {
  const Settings settings = ParseSettings(kSettings, "f");
  CHECK(settings.instance == "e1");
  CHECK(settings.first_internal_port == 7340);
  CHECK(settings.bounds.secret_withdrawal_delay == std::chrono::seconds(4));
  CHECK(settings.bounds.retry_ratio == 0.3);
  CHECK(settings.bounds.retry_extra == 60);
}

struct InvalidSettingsExample {
  std::string from;
  std::string to;
  std::string expected_message;
};

TEST_CASE("an invalid setting is reported with its field and value", "[records]") {
  const auto example = GENERATE(values<InvalidSettingsExample>({
      {R"("e1")", "7", "/instance is 7"},
      {R"("store":"10.9.0.1:3")", R"("shop":1)", "/store is nothing"},
      {"[7340,7355]", "[7355,7340]", "/internal_ports"},
      {"4100", "-1", "/descriptors is -1"},
      {"160", "1", "/memory_mb is 1"},
      {R"("4000ms")", R"("soon")", "/bounds/secret_withdrawal is \"soon\""},
      {"0.3", R"("much")", "/bounds/retry_ratio"},
      {"}}", "}", "is not JSON"},
  }));
  std::string text = kSettings;
  text.replace(text.find(example.from), example.from.size(), example.to);
  INFO(text);
  CHECK_THROWS_WITH(ParseSettings(text, "f"), Catch::Contains(example.expected_message));
}

TEST_CASE("a changed settings file is reloaded", "[records]") {
  const standin::TemporaryDirectory directory;
  const std::string path = directory / "settings.json";
  const auto write = [&path](const std::string& text) { std::ofstream(path) << text; };
  write(kSettings);
  SettingsFile file(path);
  CHECK_FALSE(file.ReloadIfChanged().has_value());
  auto document = nlohmann::json::parse(kSettings);
  document["bounds"]["retry_ratio"] = 0.07;
  document["callers"] = "10.1.0.30:1";
  write(document.dump());
  const auto reload = file.ReloadIfChanged();
  REQUIRE(reload.has_value());
  CHECK(reload->settings.bounds.retry_ratio == 0.07);
  CHECK(reload->changed_fields == std::vector<std::string>{"/bounds/retry_ratio", "/callers"});
  CHECK(reload->restart_required_fields == std::vector<std::string>{"/callers"});
  SECTION("an invalid file is reported once") {
    write("{");
    CHECK_THROWS_WITH(file.ReloadIfChanged(), Catch::Contains("is not JSON"));
    CHECK_FALSE(file.ReloadIfChanged().has_value());
    CHECK(file.settings().bounds.retry_ratio == 0.07);
    write(kSettings);
    CHECK(file.ReloadIfChanged().has_value());
  }
  SECTION("a deleted file is reported") {
    std::filesystem::remove(path);
    CHECK_THROWS_WITH(file.ReloadIfChanged(), Catch::Contains("cannot be read"));
  }
}

}  // namespace
}  // namespace dogwoodport::platform
