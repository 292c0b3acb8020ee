// Replays traces of the control state: instances that follow one log in virtual time.
//
// The first event is `cluster`; the others change the log, the links and the processes, or publish
// records. The outcome states what holds at the last event, `end`.

#include <algorithm>

#include "dogwoodport/core/detail/json_archive.h"
#include "dogwoodport/core/detail/state_fields.h"
#include "dogwoodport/standin/state_cluster.h"
#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

using nlohmann::json;
using standin::StateCluster;
using standin::StateClusterSettings;

Duration Milliseconds(const json& in) { return std::chrono::milliseconds(in.get<std::int64_t>()); }

/// Reads `type` and `body` of an event as the body of a record.
RecordBody ReadBody(const json& event) {
  const Record envelope{InstanceId{1}, Incarnation{1}, 1, "", "", 0, TargetChange{}};
  json record = json::parse(EncodeRecord(envelope));
  record["type"] = event.at("type");
  record["body"] = event.at("body");
  return DecodeRecord(record.dump()).body;
}

StateClusterSettings ReadSettings(const json& event, std::uint64_t seed) {
  StateClusterSettings settings;
  for (const json& entry : event.at("data_centres")) {
    settings.data_centres.push_back(
        {entry.at("name").get<std::string>(), entry.at("instances").get<int>()});
  }
  settings.message_loss = event.value("message_loss", 0.0);
  settings.seed = seed;
  return settings;
}

/// One replay: applies the events and compares the outcome.
class StateReplay {
 public:
  explicit StateReplay(const Trace& trace)
      : settings_(ReadSettings(trace.events.at(0), trace.header.at("seed").get<std::uint64_t>())),
        cluster_(settings_) {
    cluster_.Bootstrap();
    for (std::size_t n = 1; n < trace.events.size(); ++n) {
      const json& event = trace.events[n];
      cluster_.RunFor(TimePoint(Milliseconds(event.at("at_ms"))) - cluster_.now());
      Apply(event);
    }
  }

  std::vector<std::string> Compare(const json& outcome) {
    for (const auto& [key, value] : outcome.items()) CompareOne(key, value);
    return std::move(differences_);
  }

 private:
  void Apply(const json& event) {
    const auto kind = event.at("event").get<std::string>();
    const auto text = [&](const char* name) { return event.at(name).get<std::string>(); };
    if (kind == "log") {
      cluster_.log().SetFaults({event.value("down", false),
                                Milliseconds(event.value("delay_ms", json(0))),
                                event.value("lost_answers", 0U)});
      if (event.contains("retained")) cluster_.log().SetRetained(event["retained"]);
    } else if (kind == "publish") {
      cluster_.Publish(text("actor"), ReadBody(event));
    } else if (kind == "publish_rate") {
      PublishRates(event);
    } else if (kind == "submit") {
      cluster_.node(text("instance")).follower->Submit(text("actor"), "trace", ReadBody(event));
    } else if (kind == "append_text") {
      cluster_.log().Append({text("data")});
    } else if (kind == "hole") {
      cluster_.log().MakeHole(event.at("offset").get<std::uint64_t>());
    } else if (kind == "partition") {
      cluster_.SetPartitioned(text("data_centre"), event.at("on").get<bool>());
    } else if (kind == "log_cut") {
      cluster_.SetLogReachable(text("data_centre"), !event.at("on").get<bool>());
    } else if (kind == "pause") {
      cluster_.Pause(text("instance"), Milliseconds(event.at("for_ms")));
    } else if (kind == "kill") {
      cluster_.Kill(text("instance"));
    } else if (kind == "restart") {
      cluster_.Restart(text("instance"));
    } else if (kind == "restart_all") {
      for (auto& node : cluster_.nodes()) cluster_.Restart(node.name);
    } else if (kind != "end") {
      differences_.push_back("unknown event " + kind);
    }
  }

  /// Publishes `count` documents that differ in the default rate, `every_ms` apart.
  void PublishRates(const json& event) {
    json document = SmallDocument(settings_);
    auto version = event.at("expected_version").get<std::uint64_t>();
    for (int n = 0; n < event.value("count", 1); ++n) {
      document["defaults"]["rate"] = event.at("rate").get<double>() + n;
      cluster_.Publish(event.at("actor").get<std::string>(), ConfigChange{version++, document});
      cluster_.RunFor(Milliseconds(event.value("every_ms", json(0))));
    }
  }

  void Expect(const std::string& what, const json& expected, const json& actual) {
    if (expected == actual) return;
    differences_.push_back(what + " is " + actual.dump() + ", stated " + expected.dump());
  }

  void CompareOne(const std::string& key, const json& stated) {
    if (key == "outcomes") return CompareOutcomes(stated);
    if (key == "faults") return CompareFaults(stated);
    bool known = false;
    for (const auto& node : cluster_.nodes()) {
      if (!node.alive) continue;
      known = CompareNode(key, stated, node);
    }
    if (!known) differences_.push_back("unknown outcome " + key);
  }

  bool CompareNode(const std::string& key, const json& stated, const StateCluster::Node& node) {
    const LogFollower& follower = *node.follower;
    const std::string what = node.name + " " + key;
    if (key == "version") {
      Expect(what, stated, follower.state().config()->version);
    } else if (key == "rate") {
      Expect(what, stated, follower.state().config()->defaults.rate);
    } else if (key == "ready") {
      Expect(what, stated, follower.ready());
    } else if (key == "went_back") {
      Expect(what, stated, node.went_back);
    } else if (key == "equal_states") {
      const auto& first = cluster_.nodes().front().follower->state();
      Expect(what, stated, follower.state().Digest() == first.Digest());
    } else {
      return false;
    }
    return true;
  }

  void CompareOutcomes(const json& stated) {
    for (const auto& [name, list] : stated.items()) {
      json actual = json::array();
      for (const WriteOutcome& outcome : cluster_.node(name).outcomes) {
        actual.push_back(outcome.result ? std::string(detail::EnumName(outcome.result->outcome))
                                        : "forgotten");
      }
      Expect(name + " outcomes", list, actual);
    }
  }

  void CompareFaults(const json& stated) {
    for (const auto& [name, text] : stated.items()) {
      Expect(name + " fault", text, cluster_.node(name).follower->fault());
    }
  }

  StateClusterSettings settings_;
  StateCluster cluster_;
  std::vector<std::string> differences_;
};

const Registration registration("state", [](const Trace& trace) {
  return StateReplay(trace).Compare(trace.header.at("outcome"));
});

}  // namespace
}  // namespace dogwoodport::replay
