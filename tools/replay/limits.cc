// Replays traces of the rate limits. Events: {"at_ms", "event", ...} with
//   send {"account", "instance" (-1: any), "per_ms", "for_ms"}, lose {"instance"}, add {"zone"},
//   cut_off {"instance"}, pause {"instance", "for_ms"}, partition {"zone"}, heal,
//   limits {"account", "rate", "burst"}.
// The header has "instances" (per data centre), "accounts" and "links" {"loss", "duplication"}. The
// outcome has "excess" (most admissions over the limit in any interval) and, per account,
// [least, most] admissions.

#include "dogwoodport/standin/limit_fleet.h"
#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

using standin::LimitFleet;
using standin::LimitFleetSettings;

constexpr Duration kMs{1'000};

struct Flow {
  AccountId account;
  std::int64_t instance = -1;
  double per_ms = 0;
  std::int64_t until_ms = 0;
};

class LimitReplay {
 public:
  explicit LimitReplay(const nlohmann::json& header) : fleet_(Settings(header)) {
    start_ = fleet_.now();
  }

  void Apply(const nlohmann::json& event) {
    RunTo(event.at("at_ms").get<std::int64_t>());
    const auto name = event.at("event").get<std::string>();
    const std::size_t i = event.value("instance", std::size_t{0});
    if (name == "send") {
      flows_.push_back({Account(event), event.value("instance", std::int64_t{-1}),
                        event.at("per_ms").get<double>(),
                        now_ms() + event.at("for_ms").get<std::int64_t>()});
    } else if (name == "lose") {
      fleet_.Lose(i);
    } else if (name == "add") {
      fleet_.Add(event.at("zone").get<std::size_t>());
    } else if (name == "cut_off") {
      fleet_.CutOff(i);
    } else if (name == "pause") {
      fleet_.Pause(i, event.at("for_ms").get<std::int64_t>() * kMs);
    } else if (name == "partition") {
      fleet_.Partition(event.at("zone").get<std::size_t>());
    } else if (name == "heal") {
      fleet_.Heal();
    } else if (name == "limits") {
      ChangeLimits(event);
    } else if (name != "end") {
      throw std::runtime_error("unknown event " + name);
    }
  }

  std::vector<std::string> Compare(const nlohmann::json& outcome) const {
    std::vector<std::string> differences;
    constexpr double kRounding = 1e-6;
    if (fleet_.excess() > outcome.at("excess").get<double>() + kRounding) {
      differences.push_back("excess is " + std::to_string(fleet_.excess()));
    }
    for (const auto& [name, range] : outcome.at("admitted").items()) {
      const auto admitted = fleet_.counts(AccountId::FromName(name)).admitted;
      if (admitted >= range.at(0).get<std::uint64_t>() &&
          admitted <= range.at(1).get<std::uint64_t>()) {
        continue;
      }
      differences.push_back("admitted of " + name + " is " + std::to_string(admitted));
    }
    return differences;
  }

 private:
  static LimitFleetSettings Settings(const nlohmann::json& header) {
    LimitFleetSettings settings;
    settings.instances = header.at("instances").get<std::vector<std::uint32_t>>();
    settings.seed = header.at("seed").get<std::uint64_t>();
    settings.links.loss = header.at("links").at("loss").get<double>();
    settings.links.duplication = header.at("links").at("duplication").get<double>();
    for (const auto& account : header.at("accounts")) {
      const auto name = account.at("name").get<std::string>();
      settings.accounts.push_back({AccountId::FromName(name), name,
                                   account.at("rate").get<double>(),
                                   account.at("burst").get<double>()});
    }
    return settings;
  }

  static AccountId Account(const nlohmann::json& event) {
    return AccountId::FromName(event.at("account").get<std::string>());
  }

  std::int64_t now_ms() const { return (fleet_.now() - start_) / kMs; }

  void ChangeLimits(const nlohmann::json& event) {
    Config config = fleet_.config();
    for (AccountConfig& account : config.accounts) {
      if (account.id != Account(event)) continue;
      account.rate = event.at("rate").get<double>();
      account.burst = event.at("burst").get<double>();
    }
    fleet_.Publish(config);
  }

  void RunTo(std::int64_t ms) {
    for (; now_ms() < ms; fleet_.Step()) {
      std::erase_if(flows_, [&](const Flow& flow) { return now_ms() >= flow.until_ms; });
      for (const Flow& flow : flows_) SendFlow(flow);
    }
  }

  void SendFlow(const Flow& flow) {
    std::poisson_distribution<int> requests(flow.per_ms);
    std::uniform_int_distribution<std::size_t> any(0, fleet_.size() - 1);
    for (int n = requests(fleet_.random()); n > 0; --n) {
      const auto i =
          flow.instance < 0 ? any(fleet_.random()) : static_cast<std::size_t>(flow.instance);
      fleet_.Send(i, flow.account);
    }
  }

  LimitFleet fleet_;
  TimePoint start_;
  std::vector<Flow> flows_;
};

const Registration limits_replayer("limits", [](const Trace& trace) {
  LimitReplay replay(trace.header);
  for (const auto& event : trace.events) replay.Apply(event);
  return replay.Compare(trace.header.at("outcome"));
});

}  // namespace
}  // namespace dogwoodport::replay
