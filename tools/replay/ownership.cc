// Replays traces of the ownership system: faults at stated times in a world of virtual time, then
// the outcome that the header states.

#include <map>

#include "dogwoodport/standin/ownership_world.h"
#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

using standin::OwnershipWorld;
using standin::WorldOptions;

constexpr Duration kStartLimit{10'000'000};
/// Moves for balance after the start end within this time.
constexpr Duration kSettleTime{10'000'000};

Duration Milliseconds(const nlohmann::json& value) {
  return Duration{value.get<std::int64_t>() * 1000};
}

WorldOptions ReadWorld(const nlohmann::json& header) {
  const nlohmann::json& world = header.at("world");
  WorldOptions options;
  options.seed = header.at("seed").get<std::uint64_t>();
  options.data_centres = world.value("data_centres", options.data_centres);
  options.instances = world.value("instances", options.instances);
  options.targets = world.value("targets", options.targets);
  options.shards = world.value("shards", options.shards);
  options.unchecked_every = world.value("unchecked_every", options.unchecked_every);
  options.count_load = false;
  options.loss = world.value("loss", options.loss);
  options.late = world.value("late", options.late);
  options.duplication = world.value("duplication", options.duplication);
  if (world.contains("yield_after_ms")) {
    options.on_isolation = YieldOnIsolation{Milliseconds(world.at("yield_after_ms"))};
  }
  return options;
}

/// An event names an instance or target by its index, or an instance as "coordinator", or a target
/// as "owner" for the owner of the first key.
class Player {
 public:
  explicit Player(OwnershipWorld& world) : world_(world) {}

  void Play(const nlohmann::json& event) {
    const auto& name = event.at("event").get_ref<const std::string&>();
    const auto it = Handlers().find(name);
    if (it == Handlers().end()) throw std::runtime_error("unknown event " + name);
    it->second(*this, event);
  }

 private:
  using Handler = void (*)(Player&, const nlohmann::json&);

  std::size_t Instance(const nlohmann::json& event) const {
    const nlohmann::json& value = event.at("instance");
    if (value.is_string()) return world_.CoordinatorOf(event.value("data_centre", 0));
    return value.get<std::size_t>();
  }
  std::size_t Target(const nlohmann::json& event) const {
    const nlohmann::json& value = event.at("target");
    return value.is_string() ? world_.TargetIndex(world_.Owners().front())
                             : value.get<std::size_t>();
  }

  static const std::map<std::string, Handler>& Handlers();

  OwnershipWorld& world_;
};

const std::map<std::string, Player::Handler>& Player::Handlers() {
  using Json = nlohmann::json;
  static const std::map<std::string, Handler> handlers = {
      {"crash", [](Player& p, const Json& e) { p.world_.Crash(p.Instance(e)); }},
      {"restart", [](Player& p, const Json& e) { p.world_.Restart(p.Instance(e)); }},
      {"pause", [](Player& p,
                   const Json& e) { p.world_.Pause(p.Instance(e), Milliseconds(e.at("for_ms"))); }},
      {"isolate",
       [](Player& p, const Json& e) { p.world_.Isolate(p.Instance(e), e.at("on").get<bool>()); }},
      {"partition",
       [](Player& p, const Json& e) {
         p.world_.Partition(e.at("data_centre").get<std::size_t>(), e.at("on").get<bool>());
       }},
      {"log", [](Player& p, const Json& e) { p.world_.SetLog(e.at("up").get<bool>()); }},
      {"freeze",
       [](Player& p, const Json& e) { p.world_.Freeze(p.Target(e), e.at("on").get<bool>()); }},
      {"restart_target", [](Player& p, const Json& e) { p.world_.RestartTarget(p.Target(e)); }},
      {"drain",
       [](Player& p, const Json& e) {
         p.world_.WriteTargetState(p.Target(e), e.at("on").get<bool>());
       }},
      {"second_coordinator",
       [](Player& p, const Json& e) {
         p.world_.WriteDelegation(e.value("data_centre", 0U), p.Instance(e));
       }},
      {"declare_lost_groups",
       [](Player& p, const Json& e) { p.world_.DeclareLostGroups(e.value("data_centre", 0U)); }},
      {"state",
       [](Player& p, const Json& e) {
         static const std::map<std::string, DataCentreState> states = {
             {"in_service", DataCentreState::kInService},
             {"withdrawn", DataCentreState::kWithdrawn},
             {"yielded", DataCentreState::kYielded},
             {"lost", DataCentreState::kLost}};
         p.world_.WriteState(e.at("data_centre").get<std::size_t>(),
                             states.at(e.at("state").get<std::string>()));
       }},
  };
  return handlers;
}

void Compare(const std::string& what, std::int64_t value, const nlohmann::json& outcome,
             std::vector<std::string>& differences) {
  const std::string limit = "max_" + what;
  if (outcome.contains(limit) && value > outcome.at(limit).get<std::int64_t>()) {
    differences.push_back(what + " is " + std::to_string(value) + ", more than " +
                          outcome.at(limit).dump());
  }
  if (outcome.contains(what) && value != outcome.at(what).get<std::int64_t>()) {
    differences.push_back(what + " is " + std::to_string(value) + ", not " +
                          outcome.at(what).dump());
  }
}

std::vector<std::string> Replay(const Trace& trace) {
  OwnershipWorld world(ReadWorld(trace.header));
  if (!world.RunUntilServed(kStartLimit)) return {"the world did not start"};
  world.Run(kSettleTime);
  world.ResetUnavailability();
  Player player(world);
  const Duration start = world.now();
  for (const nlohmann::json& event : trace.events) {
    world.Run(start + Milliseconds(event.at("at_ms")) - world.now());
    player.Play(event);
  }
  const nlohmann::json& outcome = trace.header.at("outcome");
  world.Run(start + Milliseconds(outcome.at("at_ms")) - world.now());
  std::vector<std::string> differences = world.violations();
  Compare("unserved_keys", static_cast<std::int64_t>(world.UnservedKeys()), outcome, differences);
  Compare("unavailable_ms", world.WorstUnavailability().longest.count() / 1000, outcome,
          differences);
  return differences;
}

const Registration registration("ownership", Replay);

}  // namespace
}  // namespace dogwoodport::replay
