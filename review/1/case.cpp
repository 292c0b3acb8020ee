// An endpoint crashes behind a cut from the store and starts again under its id, still reachable by
// the daemons. Checks that no two endpoints hold the same keys for over half a second.
#include "../standins/standin.h"

using namespace review;

namespace {

constexpr double kCut = 5;            // Length of the cut, the default of `srv_cut`.
constexpr double kDown = 0.5;         // Time from the crash to the new start, behind the cut.
constexpr double kMaxOverlap = 0.5;   // The rule: "for over half a second".
constexpr std::size_t kKeyStep = 64;  // Every 64th key is checked.

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  const TemporaryFolder folder;
  const std::string ip = UniqueIp();
  Store store(ip);
  store.Put("keyed.op", "config",
            MakeConfig(1, json::array({MakeRoute("ledger", "khata", "idempotent")}),
                       json::array({{{"name", "khata"},
                                     {"healthPath", "/health"},
                                     {"maxConnections", 120},
                                     {"sharded", true}}}))
                .dump());
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 0; i < 5; ++i) {
    Endpoint::Settings settings;
    settings.id = "i-" + std::to_string(i + 1);
    settings.service = "khata";
    settings.ip = ip;
    settings.sharded = true;
    endpoints.push_back(std::make_unique<Endpoint>(store, settings));
    endpoints.back()->Start();
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < 2; ++i) {
    daemons.push_back(std::make_unique<Daemon>(folder.path(), ip, i, store.address()));
    daemons.back()->Start();
  }
  const auto holders = [&](std::size_t key) {
    std::vector<std::string> ids;
    for (const auto& it : endpoints) {
      const std::lock_guard<std::mutex> lock(it->mutex());
      if (it->Holds(key)) ids.push_back(it->settings().id);
    }
    return ids;
  };
  const bool ready = WaitFor(20, [&] {
    for (const auto& it : daemons) {
      if (!it->Ready()) return false;
    }
    for (std::size_t key = 0; key < kKeys; key += kKeyStep) {
      if (holders(key).empty()) return false;
    }
    return true;
  });
  if (!ready) CannotRun("the deployment did not become ready");
  REVIEW_LOG("all keys are held");

  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back([&, i] {
      for (unsigned n = 0; !stop; ++n) {
        Request request;
        request.path = "/ledger/a";
        request.id = "r" + std::to_string(i) + "-" + std::to_string(n);
        request.shard_key = static_cast<int>((n * 2654435761U + static_cast<unsigned>(i) * 977U) >> 16);
        Ask(daemons[static_cast<std::size_t>(i) % daemons.size()]->front(), request);
        Sleep(0.04);
      }
    });
  }
  double longest = 0;
  std::thread checker([&] {
    std::map<std::size_t, double> since;
    double reported = 0;
    while (!stop) {
      for (std::size_t key = 0; key < kKeys; key += kKeyStep) {
        const auto ids = holders(key);
        if (ids.size() < 2) {
          since.erase(key);
          continue;
        }
        const double start = since.try_emplace(key, Now()).first->second;
        longest = std::max(longest, Now() - start);
        if (Now() - start > kMaxOverlap && Now() - reported > 0.25) {
          reported = Now();
          REVIEW_LOG("key %zu is held by %s and %s, for %.2f s so far", key, ids[0].c_str(),
                     ids[1].c_str(), Now() - start);
        }
      }
      Sleep(0.02);
    }
  });

  Sleep(4);
  if (Trouble()) {
    Endpoint& endpoint = *endpoints[1];
    endpoint.CutFromStore(true);
    const double cut_at = Now();
    Sleep(0.3);
    endpoint.Crash();
    Sleep(kDown);
    endpoint.Start();
    Sleep(cut_at + kCut - Now());
    endpoint.CutFromStore(false);
    Sleep(8);
  } else {
    Sleep(kCut + 8);
  }
  stop = true;
  for (std::thread& it : clients) it.join();
  checker.join();
  const bool broken = longest > kMaxOverlap;
  REVIEW_LOG("result: the longest time with two holders of a key is %.2f s; OWNER %s", longest,
             broken ? "is broken" : "holds");
  std::printf("two holders of a key for %.2f s at most: OWNER %s\n", longest,
              broken ? "broken" : "held");
  for (const auto& it : daemons) it->Kill();
  return broken ? 1 : 0;
}
