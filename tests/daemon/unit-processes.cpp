#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dogwoodport/core/record.h"
#include "dogwoodport/core/secret_store.h"
#include "dogwoodport/log_service/http_log_service.h"
#include "dogwoodport/standin/http_target.h"
#include "dogwoodport/standin/log_server.h"
#include "dogwoodport/standin/process.h"

namespace dogwoodport {
namespace {

using nlohmann::json;
using standin::Await;
using standin::Call;
using standin::HttpAnswer;
using standin::HttpTarget;
using standin::LogServer;
using standin::Process;
using standin::TargetBehaviour;

constexpr const char* kSalt = "00112233445566778899aabbccddeeff";
constexpr const char* kSecret = "k1.of-the-hospital";
constexpr const char* kOperatorSecret = "ops.secret";

struct Ports {
  std::uint16_t entry = standin::FreePort();
  std::uint16_t operators = standin::FreePort();
  std::uint16_t mesh = standin::FreePort();
};

/// Two instances in one data centre, a log service, and two targets for each of two services. The
/// second target of each service runs in a separate process.
class Fleet {
 public:
  Fleet()
      : log_({0, 1'000'000}),
        stock_({"dokan-1", 4, 2}),
        ledger_({"khata-1", 4, 2}),
        second_stock_("standin_target", {"--behaviour", R"({"name":"dokan-2"})"}, dir_ / "d2"),
        second_ledger_("standin_target", {"--behaviour", R"({"name":"khata-2"})"}, dir_ / "k2") {
    Await([this] { return !second_stock_.Output().empty() && !second_ledger_.Output().empty(); });
    for (std::size_t i = 0; i < 2; ++i) Start(i);
    Append(ConfigChange{0, ConfigDocument()});
  }

  bool Ready() {
    return Await([this] {
      return Call(ports_[0].operators, "GET", "/-/ready", "").status == 200 &&
             Call(ports_[1].operators, "GET", "/-/ready", "").status == 200;
    });
  }

  void Append(RecordBody body) {
    Record record{InstanceId{1},  Incarnation{1}, ++sequence_, "operator", "test", 0,
                  std::move(body)};
    HttpLogSettings settings;
    settings.port = log_.port();
    HttpLogService(settings).Append({EncodeRecord(record)});
  }

  HttpAnswer Get(std::size_t instance, const std::string& uri) const {
    return Call(ports_[instance].entry, "GET", uri, kSecret);
  }

  const Ports& ports(std::size_t i) const { return ports_[i]; }
  Process& daemon(std::size_t i) { return *daemons_[i]; }
  HttpTarget& stock() { return stock_; }
  HttpTarget& ledger() { return ledger_; }
  Process& second_ledger() { return second_ledger_; }

 private:
  void Start(std::size_t i) {
    json peers = json::array();
    for (std::size_t k = 0; k < 2; ++k) {
      peers.push_back({{"instance", "howrah-" + std::to_string(k)},
                       {"data_centre", "howrah"},
                       {"address", "127.0.0.1:" + std::to_string(ports_[k].mesh)}});
    }
    const json secret = {{"salt_hex", kSalt}, {"hash_hex", HashSecret(kSalt, kOperatorSecret)}};
    const json settings = {{"instance", "howrah-" + std::to_string(i)},
                           {"data_centre", "howrah"},
                           {"entry", {{"port", ports_[i].entry}}},
                           {"operators", {{"port", ports_[i].operators}, {"secret", secret}}},
                           {"mesh",
                            {{"listen", "127.0.0.1:" + std::to_string(ports_[i].mesh)},
                             {"max_message_bytes", 16 << 20},
                             {"peers", peers}}},
                           {"log_service", {{"host", "127.0.0.1"}, {"port", log_.port()}}},
                           {"shutdown", {{"load_balancer_wait_ms", 100}}}};
    const std::string path = dir_ / ("i" + std::to_string(i) + ".json");
    std::ofstream(path) << settings.dump();
    daemons_[i] = std::make_unique<Process>("dogwoodd", std::vector<std::string>{"--config", path},
                                            dir_ / ("i" + std::to_string(i) + ".log"));
  }

  static json TargetEntry(const char* name, const char* service, int port) {
    return {{"name", name},
            {"service", service},
            {"data_centre", "howrah"},
            {"host", "127.0.0.1"},
            {"port", port}};
  }

  json ConfigDocument() const {
    const json secret = {{"key_id", "k1"}, {"salt", kSalt}, {"hash", HashSecret(kSalt, kSecret)}};
    return {
        {"data_centres", {{{"name", "howrah"}}}},
        {"services", {{{"name", "dokan"}}, {{"name", "khata"}, {"keyed", true}, {"shards", 16}}}},
        {"routes",
         {{{"name", "stock"}, {"path_prefix", "/dokan"}, {"service", "dokan"}},
          {{"name", "pay"}, {"path_prefix", "/pay"}, {"service", "dokan"}, {"repeatable", false}},
          {{"name", "ledger"},
           {"path_prefix", "/khata"},
           {"service", "khata"},
           {"key", {{"in", "path"}, {"segment", 1}}}}}},
        {"accounts",
         {{{"name", "hospital"}, {"rate", 10000}, {"burst", 10000}, {"secrets", {secret}}}}},
        {"targets",
         {TargetEntry("dokan-1", "dokan", stock_.port()),
          TargetEntry("dokan-2", "dokan", std::stoi(second_stock_.Output())),
          TargetEntry("khata-1", "khata", ledger_.port()),
          TargetEntry("khata-2", "khata", std::stoi(second_ledger_.Output()))}},
        {"exceptions", json::array()}};
  }

  standin::TemporaryDirectory dir_;
  LogServer log_;
  HttpTarget stock_;
  HttpTarget ledger_;
  Process second_stock_;
  Process second_ledger_;
  std::array<Ports, 2> ports_;
  std::array<std::unique_ptr<Process>, 2> daemons_;
  std::uint64_t sequence_ = 0;
};

}  // namespace

TEST_CASE("two instances serve requests, tolerate a lost target, withdraw a secret and drain") {
  Fleet fleet;
  REQUIRE(fleet.Ready());

  // Both instances forward requests for both services, with the complete URI including the key.
  for (int i = 0; i < 20; ++i) {
    const std::string uri = (i % 2 == 0 ? "/dokan/" : "/khata/") + std::to_string(i);
    const HttpAnswer response = fleet.Get(static_cast<std::size_t>(i / 2 % 2), uri);
    INFO(uri << ": " << response.body);
    CHECK(response.status == 200);
    CHECK(response.run == "yes");
    CHECK(response.body.find("\"uri\":\"" + uri + "\"") != std::string::npos);
  }

  // Refused requests (section 8 of the design page).
  CHECK(Call(fleet.ports(0).entry, "GET", "/dokan/x", "").status == 401);
  CHECK(Call(fleet.ports(0).entry, "GET", "/dokan/x", "k1.wrong").status == 401);
  CHECK(fleet.Get(0, "/nowhere").status == 404);
  CHECK(Call(fleet.ports(0).entry, "POST", "/pay/1", kSecret, "x").status == 400);
  CHECK(Call(fleet.ports(0).operators, "GET", "/-/status", "").status == 401);
  CHECK(Call(fleet.ports(0).operators, "GET", "/-/status", kOperatorSecret).status == 200);
  CHECK(Call(fleet.ports(0).operators, "GET", "/-/metrics", "").status == 200);

  // An order runs only once, even if a retry reaches another instance.
  const HttpAnswer first = Call(fleet.ports(0).entry, "POST", "/pay/1", kSecret, "5 rupees", "o1");
  const HttpAnswer retry = Call(fleet.ports(1).entry, "POST", "/pay/1", kSecret, "5 rupees", "o1");
  INFO(first.body << retry.body);
  CHECK(first.status == 200);
  CHECK(retry.status == 200);
  CHECK(retry.body == first.body);
  CHECK(Call(fleet.ports(1).entry, "POST", "/pay/1", kSecret, "6 rupees", "o1").status == 409);

  // The keys of a lost target move to the other target.
  fleet.second_ledger().Signal(SIGKILL);
  for (int key = 0; key < 16; ++key) {
    CHECK(Await([&] { return fleet.Get(0, "/khata/" + std::to_string(key)).status == 200; }));
  }

  // The secret is not forwarded to targets.
  for (const HttpTarget* target : {&fleet.stock(), &fleet.ledger()}) {
    for (const auto& run : target->runs()) {
      CHECK_FALSE(run.had_authorization);
      CHECK(run.account == "hospital");
    }
  }

  // SIGTERM while requests are running: all responses are complete and the exit status is 0.
  TargetBehaviour slow = fleet.stock().behaviour();
  slow.service_ms = 1000;
  fleet.stock().Set(slow);
  std::atomic<int> failed_calls{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back(
        [&] { failed_calls += fleet.Get(0, "/dokan/slow").status == 200 ? 0 : 1; });
  }
  REQUIRE(Await([&] { return fleet.stock().in_flight() > 0; }));
  fleet.daemon(0).Signal(SIGTERM);
  for (std::thread& caller : callers) caller.join();
  CHECK(failed_calls == 0);
  CHECK(fleet.daemon(0).Wait() == 0);

  // A withdrawn secret is refused, and secrets do not appear in the log.
  fleet.Append(SecretChange{"hospital", 0, SecretAction::kWithdraw, {"k1", "", ""}});
  CHECK(Await([&] { return fleet.Get(1, "/dokan/x").status == 401; }));
  CHECK(fleet.daemon(0).Output().find(kSecret) == std::string::npos);
}

TEST_CASE("the daemon exits with status 2 on invalid settings and arguments") {
  const standin::TemporaryDirectory dir;
  std::ofstream(dir / "bad.json") << R"({"instance": 7})";
  Process bad_settings("dogwoodd", {"--config", dir / "bad.json"}, dir / "bad.log");
  CHECK(bad_settings.Wait() == 2);
  CHECK(bad_settings.Output().find("/instance: 7, expected a non-empty string") !=
        std::string::npos);
  Process no_arguments("dogwoodd", {}, dir / "none.log");
  CHECK(no_arguments.Wait() == 2);
  Process unknown_option("dogwoodd", {"--no-such-option"}, dir / "unknown.log");
  CHECK(unknown_option.Wait() == 2);
}

}  // namespace dogwoodport
