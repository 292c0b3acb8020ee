#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "dogwoodport/core/config_reader.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

json Document() {
  return json::parse(R"({
    "defaults": {"rate": 50, "burst": 100, "weight": 1},
    "data_centres": [{"name": "howrah"}, {"name": "barasat"}],
    "services": [{"name": "khata", "keyed": true, "shards": 64, "on_isolation": "yield",
                  "isolation_bound_ms": 20000}, {"name": "dokan"}],
    "routes": [{"name": "ledger", "path_prefix": "/khata/", "service": "khata",
                "key": {"in": "path", "segment": 1}, "repeatable": false},
               {"name": "stock", "path_prefix": "/dokan/", "service": "dokan",
                "methods": ["GET"], "open_to_all": true, "deadline_ms": 800}],
    "accounts": [{"name": "puja"}, {"name": "sen", "weight": 2}],
    "targets": [{"name": "khata-1", "service": "khata", "data_centre": "howrah",
                 "host": "127.0.0.1", "port": 9001, "checks_grants": true}],
    "exceptions": [{"account": "puja", "rate": 80, "reason": "festival", "ends_at_ms": 1000}]
  })");
}

std::vector<ConfigFault> FaultsOf(const json& document) {
  try {
    ReadConfig(document, 0);
  } catch (const ConfigError& e) {
    return e.faults();
  }
  return {};
}

}  // namespace

TEST_CASE("a valid document is read into typed tables") {
  const Config config = ReadConfig(Document(), 999);
  CHECK(config.data_centres[0].rate_share == 0.5);
  CHECK(std::get<YieldOnIsolation>(config.services[0].on_isolation).bound.count() == 20'000'000);
  CHECK(std::get<KeyInPath>(*config.routes[0].key).segment == 1);
  CHECK_FALSE(config.routes[0].repeatable);
  CHECK(config.routes[1].default_deadline.count() == 800'000);
  CHECK(config.targets[0].service == ServiceId::FromName("khata"));
  CHECK(config.targets[0].slots == 4);
  CHECK(config.accounts[1].weight == 2);
  SECTION("an exception applies until its end") {
    CHECK(config.accounts[0].rate == 80);
    CHECK(ReadConfig(Document(), 1000).accounts[0].rate == 50);
  }
}

TEST_CASE("each fault is listed with its pointer") {
  struct Row {
    const char* pointer;
    json value;
    const char* fault_at;
    const char* expectation;
  };
  // Guards against invalid documents reaching the daemons. Each row is a fault that an operator
  // could make.
  const auto row = GENERATE(values<Row>({
      {"/routes/0/service", "kata", "/routes/0/service", "the name of a service"},
      {"/targets/0/data_centre", "delhi", "/targets/0/data_centre", "the name of a data centre"},
      {"/exceptions/0/account", "nobody", "/exceptions/0/account", "the name of a client account"},
      {"/exceptions/0/reason", " ", "/exceptions/0/reason", "a reason of 1 to 1024 bytes"},
      {"/targets/0/port", 70000, "/targets/0/port", "an integer from 1 to 65535"},
      {"/targets/0/port", "9001", "/targets/0/port", "an integer from 1 to 65535"},
      {"/targets/0/host", "khata.example", "/targets/0/host", "an IPv4 or IPv6 address"},
      {"/defaults/rate", -1, "/defaults/rate", "a number from 0.0 to 1000000000.0"},
      {"/defaults/rate", "50", "/defaults/rate", "a number from 0.0 to 1000000000.0"},
      {"/defaults/brust", 5, "/defaults/brust", "no such field"},
      {"/accounts/1/name", "puja", "/accounts/1/name", "a name that is not used twice"},
      {"/services/0/on_isolation", "maybe", "/services/0/on_isolation", "\"hold\" or \"yield\""},
      {"/services/1/isolation_bound_ms", 5000, "/services/1/isolation_bound_ms",
       "no bound unless on_isolation is \"yield\""},
      {"/routes/1/methods/0", "FETCH", "/routes/1/methods/0",
       "one of GET, HEAD, POST, PUT, PATCH, DELETE"},
      {"/routes/1/path_prefix", "/-/live", "/routes/1/path_prefix",
       "a path that starts with '/' and not with '/-/'"},
      {"/routes/1/path_prefix", "/khata/", "/routes/1/methods",
       "methods that no other route with this path_prefix takes"},
      {"/data_centres/0/rate_share", 0.5, "/data_centres",
       "rate_share in no data centre, or in all with the sum 1"},
      {"/services/0/keyed", false, "/routes/0/key", "no key, since the service is not keyed"},
      {"/routes/1/repeatable", false, "/routes/1/open_to_all",
       "false on a route that may not be repeated, since an order belongs to an account"},
      {"/accounts", json::object(), "/accounts", "a list"},
  }));
  INFO(row.pointer << " " << row.value);
  json document = Document();
  document[json::json_pointer(row.pointer)] = row.value;
  const auto faults = FaultsOf(document);
  const bool listed = std::any_of(faults.begin(), faults.end(), [&](const ConfigFault& fault) {
    return fault.pointer == row.fault_at && fault.expectation == row.expectation;
  });
  CHECK(listed);
}

TEST_CASE("all faults are listed at once") {
  json document = Document();
  document["targets"][0].erase("port");
  document["routes"][0].erase("key");
  document["a/b"] = 1;
  const auto faults = FaultsOf(document);
  REQUIRE(faults.size() == 3);
  CHECK(faults[0].pointer == "/routes/0/key");
  CHECK(faults[1] == ConfigFault{"/targets/0/port", "absent", "an integer from 1 to 65535"});
  CHECK(faults[2].pointer == "/a~1b");
}

TEST_CASE("text that is not a configuration document is refused") {
  CHECK(FaultsOf(json(7)).at(0) == ConfigFault{"", "7", "an object"});
  CHECK_THROWS_AS(ParseConfigText("{"), ConfigError);
  CHECK_THROWS_AS(ParseConfigText(std::string(100'000, '[')), ConfigError);
  // JSON parsers silently drop one of two values with the same name.
  CHECK_THROWS_AS(ParseConfigText(R"({"a": {"rate": 1, "rate": 2}})"), ConfigError);
  CHECK_NOTHROW(ParseConfigText(R"([{"rate": 1}, {"rate": 2}])"));
}

TEST_CASE("the example configurations are valid") {
  struct Row {
    const char* path;
    std::size_t data_centres;
    std::size_t targets;
  };
  const auto row = GENERATE(values<Row>(
      {{"examples/hooghly/config.json", 4, 33}, {"examples/armor/config.json", 3, 33}}));
  INFO(row.path);
  std::ifstream file(row.path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const Config config = ReadConfig(ParseConfigText(text), 0);
  CHECK(config.data_centres.size() == row.data_centres);
  CHECK(config.targets.size() == row.targets);
  CHECK(config.accounts.size() == 8);
}

}  // namespace dogwoodport
