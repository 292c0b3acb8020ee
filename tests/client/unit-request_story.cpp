#include <catch2/catch.hpp>

#include "client/client_world.h"
#include "dogwoodport/client/request_story.h"

namespace dogwoodport {
namespace {

/// Log lines of two instances, in one case with a time and an instance name before the JSON object.
const std::vector<std::string> kLogLines = {
    R"(  1.2 edge-1 {"time_ms":1000,"level":"info","instance":"edge-1","event":"config_applied","from":3,"to":5})",
    R"({"time_ms":1500,"level":"info","instance":"edge-1","event":"target_changed","target":"t1","change":"leaving"})",
    R"({"time_ms":1500,"level":"info","instance":"edge-1","event":"target_changed","target":"t2","change":"joined"})",
    R"({"time_ms":1600,"level":"warning","instance":"edge-1","event":"attempt_failed","request_id":"a","target":"t1","failure":"broken","may_have_run":true,"sends":1,"config_version":5,"age_ms":21})",
    R"({"time_ms":1601,"level":"warning","instance":"edge-1","event":"refused","request_id":"a","target":"t1","reason":"target_failed","status":502,"sends":1,"config_version":5,"config_age_ms":600,"age_ms":21,"lines_dropped":4})",
    R"({"time_ms":1700,"level":"warning","instance":"edge-2","event":"store_lost","feed":"operators","reason":"no answer"})",
    R"({"time_ms":1800,"level":"warning","instance":"edge-2","event":"refused","request_id":"b","reason":"stale_secrets","status":503,"retry_after_ms":300,"sends":0,"config_version":5,"config_age_ms":4800,"age_ms":0})",
    R"({"time_ms":1900,"level":"warning","instance":"edge-2","event":"attempt_timed_out","request_id":"c","target":"t3","may_have_run":true,"sends":1,"age_ms":500})",
    R"({"time_ms":1950,"level":"debug","instance":"edge-2","event":"served","request_id":"c","target":"t4","status":200,"sends":2,"age_ms":550})",
    "not a log line",
    R"({"event":"refused","request_id":"a"})",
};

RequestTimeline ReadTimeline(const std::string& id) {
  RequestTimeline timeline(id);
  for (const std::string& line : kLogLines) timeline.Add(line);
  return timeline;
}

struct Case {
  const char* id;
  const char* cause;
  std::vector<std::string> events;
};

TEST_CASE("a timeline contains the decisions and the state changes before them") {
  const auto it = GENERATE(values<Case>({
      {"a",
       "It was answered 502 because the connection to its target was lost, and it could not be "
       "retried. Before that, the attempt at t1 failed: broken, it may have run.",
       {"config_applied", "target_changed", "attempt_failed", "refused"}},
      {"b",
       "It was answered 503 because the configuration was too old to tell whether its secret had "
       "been withdrawn. No target has seen it.",
       {"store_lost", "refused"}},
      {"c", "It was served.", {"store_lost", "attempt_timed_out", "served"}},
  }));
  const RequestTimeline timeline = ReadTimeline(it.id);
  REQUIRE(timeline.found());
  CHECK(timeline.Cause() == it.cause);
  std::vector<std::string> events;
  for (const TimelineEntry& line : timeline.Lines()) events.push_back(line.event);
  CHECK(events == it.events);
  CHECK(timeline.unreadable_lines() == 2);
}

TEST_CASE("a decision shows the version and the age of the data that it is based on") {
  const auto lines = ReadTimeline("a").Lines();
  CHECK(lines.back().basis == "age_ms 21, sends 1, target t1, config_version 5, config_age_ms 600");
  CHECK(ReadTimeline("a").dropped_lines() == 4);
  CHECK(ReadTimeline("b").dropped_lines() == 0);
}

TEST_CASE("lines of other formats are skipped") {
  RequestTimeline timeline("a");
  for (const char* line : {"", "{", "{}", "null", R"({"time_ms":"x","event":1,"instance":[]})",
                           R"({"time_ms":1,"event":"refused","instance":"i","request_id":7})"}) {
    timeline.Add(line);
  }
  CHECK_FALSE(timeline.found());
  CHECK(timeline.Lines().empty());
  CHECK(timeline.unreadable_lines() == 5);
}

TEST_CASE("explain reads the standard input and needs no settings") {
  CliFixture cli;
  std::string input;
  for (const std::string& line : kLogLines) input += line + "\n";
  const CliResult table = cli.Run({"explain", "b"}, input);
  CHECK(table.status == 0);
  CHECK(table.out.find("No target has seen it.") != std::string::npos);
  CHECK(cli.RunJson({"explain", "b"}, input).Json()["story"].size() == 2);
  CHECK(cli.Run({"explain", "unknown"}, input).status == 1);
  CHECK(cli.Run({"explain", "b", "--log", "/no/such/file"}).status == 2);
  const std::string file = cli.Write("edge-2.log", input);
  CHECK(cli.Run({"explain", "b", "--log", file, "--log", file}).status == 0);
}

}  // namespace
}  // namespace dogwoodport
