#include "dogwoodport/core/routing.h"

#include <map>

#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

using nlohmann::json;

const DataCentreId here_id = DataCentreId::FromName("here");
const DataCentreId there_id = DataCentreId::FromName("there");
const InstanceId self_id = InstanceId::FromName("self");
const InstanceId other_id = InstanceId::FromName("other");
const ServiceId service_id = ServiceId::FromName("service");
constexpr Duration kTick{10'000};

/// Replays the events of one instance that is alone in its data centre. Events: setup, choose,
/// answer, timeout, connection_failed, health, draining, data_centre, load.
class Replay {
 public:
  explicit Replay(const Trace& trace) : trace_(trace) {}

  std::vector<std::string> Run() {
    for (const json& event : trace_.events) {
      Advance(TimePoint{Duration{(1'000 + event.at("at_ms").get<std::int64_t>()) * 1'000}});
      Apply(event);
    }
    const auto& outcome = trace_.header.at("outcome");
    const auto choices = outcome.at("choices").get<std::map<std::string, std::string>>();
    for (const auto& [name, expected] : choices) {
      Compare("choice " + name, expected, choices_[name]);
    }
    if (outcome.contains("admitted")) {
      const auto admitted = outcome.at("admitted").get<std::map<std::string, std::uint32_t>>();
      for (const auto& [name, expected] : admitted) CompareAdmitted(name, expected);
    }
    return differences_;
  }

 private:
  void Compare(const std::string& what, const std::string& expected, const std::string& actual) {
    if (expected == actual) return;
    differences_.push_back(what + ": stated " + expected + ", got " + actual);
  }

  void CompareAdmitted(const std::string& name, std::uint32_t expected) {
    const TargetRow& row = Row(name);
    Compare("admitted concurrency of " + name, std::to_string(expected),
            std::to_string(row.ramp.Limit(row.config.slots)));
  }

  void Advance(TimePoint to) {
    while (routing_ && now_ + kTick <= to) {
      now_ += kTick;
      routing_->Tick(now_, out_);
    }
    now_ = to;
  }

  const TargetRow& Row(const std::string& name) const {
    return routing_->targets().rows()[*routing_->targets().IndexOf(TargetId::FromName(name))];
  }

  void SetUp(const json& event) {
    Config config;
    config.data_centres = {{here_id, "here", 0.5}, {there_id, "there", 0.5}};
    config.services.push_back({.id = service_id, .name = "service"});
    for (const json& name : event.at("targets")) {
      TargetConfig target{.id = TargetId::FromName(name.get<std::string>())};
      target.name = name.get<std::string>();
      target.service = service_id;
      target.data_centre = here_id;
      target.slots = event.at("slots").get<std::uint32_t>();
      config.targets.push_back(target);
    }
    routing_.emplace(
        RoutingSettings{.self = self_id, .incarnation = Incarnation{1}, .data_centre = here_id});
    routing_->OnConfig(now_, config);
    routing_->OnDelegation(now_, {here_id, 1, {{self_id, Incarnation{1}}}, self_id},
                           DelegationHistory::kFirst);
    routing_->OnDelegation(now_, {there_id, 2, {{other_id, Incarnation{1}}}, other_id},
                           DelegationHistory::kFirst);
  }

  void Choose(const json& event) {
    const std::string name = event.at("as").get<std::string>();
    RouteRequest request{.service = service_id, .repeatable = true, .arrived = now_};
    request.deadline = now_ + Duration{5'000'000};
    if (event.contains("owner")) {
      request.owner = TargetId::FromName(event.at("owner").get<std::string>());
    }
    const Choice choice = routing_->Choose(now_, request, out_);
    const auto* chosen = std::get_if<Chosen>(&choice);
    if (chosen == nullptr) {
      static constexpr const char* kNames[] = {"", "spill_over", "wait", "refused"};
      choices_[name] = kNames[choice.index()];
      return;
    }
    attempts_[name] = chosen->attempt;
    routing_->OnRequestStarted(now_, chosen->attempt);
    for (const TargetRow& row : routing_->targets().rows()) {
      if (row.config.id == chosen->target) choices_[name] = row.config.name;
    }
    if (chosen->new_connection) choices_[name] += " on a new connection";
  }

  void Health(const json& event, TargetId target) {
    static const std::map<std::string, HealthState> states = {{"ready", HealthState::kReady},
                                                              {"cold", HealthState::kCold},
                                                              {"draining", HealthState::kDraining}};
    HealthReport report{.reachable = event.value("reachable", true)};
    report.state = states.at(event.value("state", "ready"));
    report.boot = event.value("boot", 1U);
    report.latency = Duration{event.value("latency_ms", 6) * 1'000};
    routing_->OnHealth(now_, target, report, out_);
  }

  void Apply(const json& event) {
    const std::string kind = event.at("event").get<std::string>();
    const TargetId target = TargetId::FromName(event.value("target", ""));
    const AttemptId attempt = attempts_[event.value("of", "")];
    if (kind == "setup") {
      SetUp(event);
    } else if (kind == "choose") {
      Choose(event);
    } else if (kind == "answer") {
      routing_->OnRequestFinished(now_, attempt, {});
    } else if (kind == "timeout") {
      routing_->OnRequestTimedOut(now_, attempt, event.at("fresh_connection").get<bool>());
    } else if (kind == "connection_failed") {
      routing_->OnConnectionFailed(now_, target);
    } else if (kind == "health") {
      Health(event, target);
    } else if (kind == "draining") {
      routing_->OnTargetState(now_, target, event.at("value").get<bool>());
    } else if (kind == "data_centre") {
      routing_->OnDataCentreState(now_, here_id, event.at("in_service").get<bool>());
    } else if (kind == "load") {
      const DataCentreLoad load{there_id,
                                2'000,
                                {{service_id, event.at("usable_slots").get<std::uint32_t>(),
                                  event.at("in_flight").get<std::uint32_t>(), 0}}};
      routing_->OnMessage(now_, other_id, load, out_);
    } else {
      differences_.push_back("unknown event " + kind);
    }
  }

  const Trace& trace_;
  TimePoint now_;
  std::optional<Routing> routing_;
  Outbox out_;
  std::map<std::string, AttemptId> attempts_;
  std::map<std::string, std::string> choices_;
  std::vector<std::string> differences_;
};

const Registration registration("routing", [](const Trace& trace) { return Replay(trace).Run(); });

}  // namespace
}  // namespace dogwoodport::replay
