#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "client/client_world.h"

namespace dogwoodport {

using nlohmann::json;

json CliFixture::Document() {
  const json secret = {{"key_id", "k1"},
                       {"salt", "00112233445566778899aabbccddeeff"},
                       {"hash", std::string(64, 'a')}};
  return {{"data_centres", {{{"name", "howrah"}}, {{"name", "barasat"}}}},
          {"services", {{{"name", "khata"}, {"keyed", true}, {"shards", 64}}}},
          {"accounts",
           {{{"name", "clerks"}, {"rate", 100}, {"secrets", {secret}}}, {{"name", "hospitals"}}}},
          {"targets",
           {{{"name", "khata-1"},
             {"service", "khata"},
             {"data_centre", "howrah"},
             {"host", "127.0.0.1"},
             {"port", 7001}},
            {{"name", "khata-2"},
             {"service", "khata"},
             {"data_centre", "barasat"},
             {"host", "127.0.0.1"},
             {"port", 7002}}}}};
}

CliFixture::CliFixture() : log(std::make_shared<HookedLog>(memory)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "dogwoodctl-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  settings_ =
      Write("settings.json", json{{"actor", "asha"},
                                  {"log_service", {{"host", "127.0.0.1"}, {"port", 1}}},
                                  {"instances",
                                   {{{"name", "howrah-1"}, {"host", "127.0.0.1"}, {"port", 2}},
                                    {{"name", "barasat-1"}, {"host", "127.0.0.1"}, {"port", 3}}}},
                                  {"operator_secret", kOperatorSecret}}
                                 .dump());
  Publish(ConfigChange{0, Document()});
  ConfirmAllChanges();
}

CliFixture::~CliFixture() { std::filesystem::remove_all(directory_); }

CliResult CliFixture::Run(std::vector<std::string> args, const std::string& in) {
  args.insert(args.end(), {"--settings", settings_});
  std::istringstream input(in);
  std::ostringstream out;
  std::ostringstream err;
  const CliEnvironment environment{[this](const ClientSettings&) { return log; },
                                   [this](const ClientSettings&) { return instances; },
                                   timer,
                                   [this] { return next_random_++; },
                                   input,
                                   out,
                                   err};
  CliResult result;
  result.status = RunCli(args, environment);
  result.out = out.str();
  result.err = err.str();
  return result;
}

CliResult CliFixture::RunJson(std::vector<std::string> args, const std::string& in) {
  args.insert(args.end(), {"--output", "json"});
  return Run(std::move(args), in);
}

std::string CliFixture::Write(const std::string& name, const std::string& text) const {
  const std::string path = directory_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void CliFixture::Publish(RecordBody body, const std::string& actor) {
  Record record{InstanceId{next_writer_++}, Incarnation{1}, 1, actor, "reason of " + actor, 1};
  record.body = std::move(body);
  memory.Append({EncodeRecord(record)});
}

ControlState CliFixture::ReplayLog() {
  ControlState state;
  for (const LogRecord& r : memory.Read(1, 1000).records) state.ApplyText(r.offset, r.data);
  return state;
}

void CliFixture::ConfirmAllChanges() {
  for (const char* name : {"howrah-1", "barasat-1"}) {
    instances->pages[std::string(name) + " /-/status"] = {{"log_offset", 1'000'000}};
  }
}

namespace {

using Args = std::vector<std::string>;

std::size_t CountMatches(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

// Guards against an exit status that a script would interpret as another outcome.
TEST_CASE("each exit status") {
  struct Row {
    const char* name;
    Args args;
    int status;
    std::string in = "";
  };
  const std::vector<Row> rows = {
      {"list of commands", {"--help"}, 0},
      {"help of a group", {"config", "--help"}, 0},
      {"help of a command", {"config", "apply", "--help"}, 0},
      {"read", {"config", "show"}, 0},
      {"change", {"targets", "drain", "khata-1", "--reason", "fan"}, 0},
      {"unchanged", {"targets", "return", "khata-1", "--reason", "fan"}, 0},
      {"unknown target", {"targets", "drain", "khata-9", "--reason", "fan"}, 1},
      {"unknown account", {"exceptions", "remove", "nobody", "--reason", "x"}, 1},
      {"mistyped key id", {"accounts", "withdraw", "clerks", "k7", "--reason", "leak"}, 1},
      {"unknown fingerprint", {"quarantine", "release", "12ab", "--reason", "fixed"}, 1},
      {"no command", {}, 2},
      {"unknown command", {"frobnicate"}, 2},
      {"group alone", {"config"}, 2},
      {"unknown subcommand", {"config", "destroy"}, 2},
      {"unknown option", {"config", "show", "--colour"}, 2},
      {"malformed option", {"audit", "--from", "x"}, 2},
      {"unknown output", {"config", "show", "--output", "xml"}, 2},
      {"no argument", {"targets", "drain", "--reason", "fan"}, 2},
      {"too many arguments", {"config", "show", "now"}, 2},
      {"no reason", {"targets", "drain", "khata-1"}, 2},
      {"blank reason", {"targets", "drain", "khata-1", "--reason", " "}, 2},
      {"no such file", {"config", "check", "/nonexistent"}, 2},
      {"malformed fingerprint", {"quarantine", "release", "xyz", "--reason", "fixed"}, 2},
      {"malformed secret", {"accounts", "rotate", "clerks", "--reason", "x"}, 2, "short\n"},
      {"malformed end",
       {"exceptions", "add", "clerks", "--rate", "1", "--ends", "soon", "--reason", "x"},
       2},
      {"unknown instance", {"status", "--instance", "nowhere"}, 2},
      {"instances down", {"shards"}, 3},
      {"owner without service", {"owners", "key-1"}, 2},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.name) {
      CliFixture cli;
      const CliResult result = cli.Run(row.args, row.in);
      CAPTURE(result.out, result.err);
      CHECK(result.status == row.status);
      CHECK((row.status == 0) == (result.err.find("dogwoodctl: ") == std::string::npos));
    }
  }
}

// Guards against subcommands whose help is missing or requires a settings file.
TEST_CASE("each subcommand has help") {
  const Args command_names = {"config show",
                              "config check",
                              "config diff",
                              "config apply",
                              "config history",
                              "exceptions list",
                              "exceptions add",
                              "exceptions remove",
                              "accounts list",
                              "accounts rotate",
                              "accounts withdraw",
                              "datacentre withdraw",
                              "datacentre return",
                              "targets list",
                              "datacentre declare-lost",
                              "targets drain",
                              "owners",
                              "shards",
                              "instances",
                              "limits",
                              "orders",
                              "quarantine list",
                              "quarantine release",
                              "status",
                              "audit"};
  for (const std::string& name : command_names) {
    DYNAMIC_SECTION(name) {
      CliFixture cli;
      std::istringstream in(name);
      Args args{std::istream_iterator<std::string>(in), {}};
      args.emplace_back("--help");
      const CliResult result = cli.Run(args);
      CHECK(result.status == 0);
      CHECK(result.out.find("dogwoodctl " + name) != std::string::npos);
    }
  }
}

// Guards against a change whose record is accepted but does not have the intended effect.
TEST_CASE("changes take effect and repeating them changes nothing") {
  struct Row {
    Args args;
    std::string in;
    std::function<bool(const ControlState&)> took_effect;
  };
  const auto account = [](const ControlState& s, std::size_t n) { return s.config()->accounts[n]; };
  const std::vector<Row> rows = {
      {{"targets", "drain", "khata-1", "--reason", "fan"},
       "",
       [](const ControlState& s) {
         return s.target(TargetId::FromName("khata-1")).state == TargetState::kDraining;
       }},
      {{"datacentre", "withdraw", "howrah", "--reason", "power"},
       "",
       [](const ControlState& s) {
         return s.data_centre(DataCentreId::FromName("howrah")).state ==
                DataCentreState::kWithdrawn;
       }},
      {{"datacentre", "declare-lost", "howrah", "--reason", "fire"},
       "",
       [](const ControlState& s) {
         return s.data_centre(DataCentreId::FromName("howrah")).state == DataCentreState::kLost;
       }},
      {{"exceptions", "add", "hospitals", "--rate", "900", "--ends", "2027-01-01T00:00:00Z",
        "--reason", "season"},
       "",
       [&](const ControlState& s) { return account(s, 1).rate == 900; }},
      {{"accounts", "rotate", "clerks", "--reason", "yearly"},
       std::string(CliFixture::kNewSecret) + "\n",
       [&](const ControlState& s) { return account(s, 0).secrets.size() == 2; }},
      {{"accounts", "withdraw", "clerks", "k1", "--reason", "leak"},
       "",
       [&](const ControlState& s) { return account(s, 0).secrets.empty(); }},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.args[0] + " " + row.args[1]) {
      CliFixture cli;
      const CliResult first = cli.RunJson(row.args, row.in);
      CAPTURE(first.err);
      REQUIRE(first.status == 0);
      CHECK(first.Json()["result"] == "accepted");
      CHECK(first.Json()["in_force_on"] == 2);
      CHECK(row.took_effect(cli.ReplayLog()));
      const std::uint64_t next = cli.ReplayLog().next_offset();
      const CliResult second = cli.RunJson(row.args, row.in);
      CHECK(second.status == 0);
      CHECK(second.Json()["result"] == "unchanged");
      CHECK(cli.ReplayLog().next_offset() == next);
    }
  }
}

// Guards against a `config show` whose output cannot be applied again.
TEST_CASE("a shown document can be edited and applied") {
  CliFixture cli;
  json document = json::parse(cli.Run({"config", "show"}).out);
  CHECK(document == CliFixture::Document());
  document["defaults"]["rate"] = 7;
  const std::string file = cli.Write("new.json", document.dump());
  const CliResult diff = cli.RunJson({"config", "diff", file});
  CHECK(diff.Json()[0]["path"] == "/defaults");
  const Args apply = {"config", "apply", file, "--base", "1", "--reason", "lower default"};
  CHECK(cli.Run(apply).status == 0);
  CHECK(cli.ReplayLog().config()->version == 2);
  // Repeating a command that has already taken effect is not a conflict.
  CHECK(cli.RunJson(apply).Json()["result"] == "unchanged");
  CHECK(cli.RunJson({"config", "history"}).Json().size() == 2);
}

// Guards against publishing an invalid document and against printing a secret that it contains.
TEST_CASE("an invalid document is refused with all faults and without secrets") {
  CliFixture cli;
  json document = CliFixture::Document();
  document["targets"][0]["port"] = 0;
  document["accounts"][0]["secrets"][0]["hash"] = CliFixture::kNewSecret;
  const std::string file = cli.Write("bad.json", document.dump());
  for (const Args& args : {Args{"config", "check", file},
                           Args{"config", "apply", file, "--base", "1", "--reason", "x"}}) {
    const CliResult result = cli.Run(args);
    CHECK(result.status == 1);
    CHECK(result.out.find("/targets/0/port") != std::string::npos);
    CHECK(result.out.find("/accounts/0/secrets/0/hash") != std::string::npos);
    CHECK((result.out + result.err).find(CliFixture::kNewSecret) == std::string::npos);
  }
  CHECK(cli.log->appended.empty());
}

// Guards against overwriting a concurrent change of another operator.
TEST_CASE("a conflicting change is refused and the other change is shown") {
  json their_document = CliFixture::Document();
  their_document["accounts"][1]["rate"] = 55;
  json our_document = CliFixture::Document();
  our_document["defaults"]["burst"] = 9;

  SECTION("other change between reading and appending") {
    CliFixture cli;
    cli.log->before_append = [&] { cli.Publish(ConfigChange{1, their_document}); };
    const CliResult result = cli.Run({"config", "apply", cli.Write("new.json", our_document.dump()),
                                      "--base", "1", "--reason", "burst"});
    CHECK(result.status == 4);
    CHECK(result.out.find("reason of binod") != std::string::npos);
    CHECK(result.out.find("/accounts/1/rate") != std::string::npos);
    CHECK(cli.ReplayLog().config()->accounts[1].rate == 55);
  }
  SECTION("other change before reading") {
    CliFixture cli;
    cli.Publish(ConfigChange{1, their_document});
    const CliResult result = cli.Run({"config", "apply", cli.Write("new.json", our_document.dump()),
                                      "--base", "1", "--reason", "burst"});
    CHECK(result.status == 4);
    CHECK(result.out.find("/accounts/1/rate") != std::string::npos);
    CHECK(cli.log->appended.empty());
  }
  SECTION("other change to the same target") {
    CliFixture cli;
    cli.log->before_append = [&] {
      cli.Publish(TargetChange{"khata-1", 0, TargetState::kDraining});
    };
    const CliResult result = cli.Run({"targets", "drain", "khata-1", "--reason", "fan"});
    CHECK(result.status == 4);
    CHECK(result.out.find("target_change khata-1") != std::string::npos);
  }
}

// Guards against a change that is applied twice or reported as failed if append responses are lost.
TEST_CASE("lost append responses") {
  const std::uint32_t lost = GENERATE(1U, 2U, 5U);
  CliFixture cli;
  cli.memory.SetFaults({false, Duration(0), lost});
  const CliResult result = cli.Run({"targets", "drain", "khata-1", "--reason", "fan"});
  CAPTURE(result.err);
  CHECK(result.status == 0);
  CHECK(cli.ReplayLog().target(TargetId::FromName("khata-1")).version == 1);
}

// Guards against partial changes and wrong results while the log service is down.
TEST_CASE("log outage") {
  CliFixture cli;
  const Args args = {"targets", "drain", "khata-1", "--reason", "fan"};
  SECTION("from the start") {
    cli.memory.SetFaults({true});
    CHECK(cli.Run(args).status == 3);
    CHECK(cli.log->appended.empty());
  }
  SECTION("from the append on: retries append the same record") {
    cli.log->before_append = [&] { cli.memory.SetFaults({true}); };
    const CliResult result = cli.Run(args);
    CHECK(result.status == 3);
    CHECK(result.err.find("nothing was changed") != std::string::npos);
    REQUIRE(cli.log->appended.size() > 1);
    for (const std::string& record : cli.log->appended) CHECK(record == cli.log->appended[0]);
    cli.memory.SetFaults({});
    CHECK(cli.ReplayLog().target(TargetId::FromName("khata-1")).version == 0);
    CHECK(cli.Run(args).status == 0);
  }
  SECTION("after an append whose response was lost") {
    cli.memory.SetFaults({false, Duration(0), 1});
    cli.log->after_append = [&] { cli.memory.SetFaults({true}); };
    const CliResult result = cli.Run(args);
    CHECK(result.status == 3);
    CHECK(result.err.find("may still take effect") != std::string::npos);
    cli.memory.SetFaults({});
    CHECK(cli.RunJson(args).Json()["result"] == "unchanged");
    CHECK(cli.ReplayLog().target(TargetId::FromName("khata-1")).version == 1);
  }
  SECTION("that ends before the timeout") {
    cli.log->before_append = [&] { cli.memory.SetFaults({true}); };
    cli.timer.on_sleep = [&] {
      if (cli.timer.now > TimePoint(Duration(3'000'000))) cli.memory.SetFaults({});
    };
    CHECK(cli.Run(args).status == 0);
    CHECK(cli.ReplayLog().target(TargetId::FromName("khata-1")).version == 1);
  }
}

// Guards against reporting a change as in force on an instance that has not applied it.
TEST_CASE("instances without confirmation are listed") {
  CliFixture cli;
  // The change has offset 2. An instance that reports 2 as its next offset has not applied it.
  cli.instances->pages["barasat-1 /-/status"] = {{"log_offset", 2}};
  cli.instances->pages["howrah-1 /-/status"] = {{"log_offset", 3}};
  const CliResult result = cli.RunJson({"targets", "drain", "khata-1", "--reason", "fan"});
  CHECK(result.status == 0);
  CHECK(result.Json()["in_force_on"] == 1);
  CHECK(result.Json()["not_confirmed"] == json{"barasat-1"});
  CHECK(result.err.find("not confirmed by barasat-1") != std::string::npos);
}

// Guards against secrets in the output, the appended records or the error messages.
TEST_CASE("secrets are never shown") {
  CliFixture cli;
  const std::string secret = std::string(CliFixture::kNewSecret) + "\n";
  const Args rotate = {"accounts", "rotate", "clerks", "--reason", "yearly"};
  std::string visible_text;
  for (const CliResult& r :
       {cli.Run(rotate, secret), cli.Run(rotate, secret), cli.Run({"config", "show"}),
        cli.Run({"accounts", "list"}), cli.Run({"audit"})}) {
    CHECK(r.status == 0);
    visible_text += r.out + r.err;
  }
  for (const std::string& record : cli.log->appended) visible_text += record;
  CHECK(visible_text.find(std::string(CliFixture::kNewSecret).substr(3)) == std::string::npos);
  CHECK(visible_text.find(CliFixture::kOperatorSecret) == std::string::npos);
  CHECK(visible_text.find("k2") != std::string::npos);
}

// Guards against a table that omits the page or the error of an instance.
TEST_CASE("pages of the instances") {
  CliFixture cli;
  const std::string path = "/-/owners?service=khata&key=a%2Fb%20c";
  cli.instances->pages["howrah-1 " + path] = {
      {"owner", "khata-1"},
      {"note", "\x1b[2J"},
      {"delegation", {{"members", {{{"n", 1}}, {{"n", 2}}}}}}};
  const CliResult table = cli.Run({"owners", "a/b c", "--service", "khata"});
  CHECK(table.status == 0);
  CHECK(table.out.find("khata-1") != std::string::npos);
  CHECK(table.out.find("delegation.members") != std::string::npos);
  // Text entered by others must not send control sequences to the terminal.
  CHECK(table.out.find('\x1b') == std::string::npos);
  CHECK(table.err.find("barasat-1: connection refused") != std::string::npos);
  const json pages = cli.RunJson({"owners", "a/b c", "--service", "khata"}).Json();
  CHECK(pages[0]["page"]["owner"] == "khata-1");
  CHECK(pages[1]["error"] == "barasat-1: connection refused");
  cli.instances->rejects_requests = true;
  CHECK(cli.Run({"instances"}).status == 1);
}

// Guards against `audit --follow` missing entries or exiting during an outage of the log service.
TEST_CASE("audit --follow continues after an outage of the log service") {
  CliFixture cli;
  cli.timer.remaining_sleeps = 6;
  int polls = 0;
  cli.timer.on_sleep = [&] {
    ++polls;
    cli.memory.SetFaults({polls == 2 || polls == 3});
    if (polls == 4) cli.Publish(TargetChange{"khata-2", 0, TargetState::kDraining});
  };
  const CliResult result = cli.Run({"audit", "--follow"});
  CHECK(result.status == 0);
  CHECK(CountMatches(result.out, "config_change") == 1);
  CHECK(CountMatches(result.out, "target_change khata-2") == 1);
  CHECK(CountMatches(result.err, "waiting for it") == 1);
}

// Guards against running a command with invalid settings and against printing a secret in them.
TEST_CASE("settings errors are listed without the secret") {
  try {
    ReadClientSettings("ctl.json", R"({"actor":"","log_service":{"host":"h","port":0},"extra":1,
                                       "operator_secret":["ops.4d2a9c7788"]})");
    FAIL("accepted");
  } catch (const ClientError& e) {
    const std::string text = e.what();
    CHECK(e.status() == ExitStatus::kUsage);
    for (const char* part : {"/actor", "/log_service/port: is 0", "/extra", "/operator_secret"}) {
      CHECK(text.find(part) != std::string::npos);
    }
    CHECK(text.find("4d2a9c7788") == std::string::npos);
  }
}

}  // namespace
}  // namespace dogwoodport
