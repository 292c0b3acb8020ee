// Measure 7: dogwoodd on loopback against a direct call to the same target.

#include <Poco/Net/StreamSocket.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

#include "dogwoodport/core/record.h"
#include "dogwoodport/core/secret_store.h"
#include "dogwoodport/log_service/http_log_service.h"
#include "dogwoodport/standin/log_server.h"
#include "dogwoodport/standin/process.h"
#include "measure/report.h"

namespace dogwoodport::measure {
namespace {

using nlohmann::json;
using standin::Process;
using Clock = std::chrono::steady_clock;

constexpr const char* kSalt = "00112233445566778899aabbccddeeff";
constexpr const char* kSecret = "k1.measurement";
constexpr std::size_t kInstances = 3;
constexpr int kCallers = 4;
constexpr std::chrono::milliseconds kRun{4000};
constexpr std::chrono::milliseconds kRest{5000};
/// 120 connections for each of 40 targets.
constexpr int kManyConnections = 120 * 40;

/// Values of /proc for one process.
struct Usage {
  double cpu_s = 0;
  double memory_mb = 0;
  double threads = 0;
};

Usage UsageOf(pid_t pid) {
  Usage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(stat, line);
  // The fields after the name in parentheses are numbers; utime and stime are the 14th and 15th.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string field;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    if (i >= 14) usage.cpu_s += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) usage.memory_mb = std::stod(line.substr(6)) / 1024;
    if (line.rfind("Threads:", 0) == 0) usage.threads = std::stod(line.substr(8));
  }
  return usage;
}

/// Three instances of one data centre and one target with many slots, as processes.
class Fleet {
 public:
  Fleet()
      : log_({}),
        target_("standin_target",
                {"--behaviour", R"({"name":"dokan-1","service_ms":0,"slots":64})"},
                dir_ / "target") {
    standin::Await([this] { return !target_.Output().empty(); });
    target_port_ = static_cast<std::uint16_t>(std::stoi(target_.Output()));
    for (std::size_t i = 0; i < kInstances; ++i) ports_[i] = {Free(), Free(), Free()};
    for (std::size_t i = 0; i < kInstances; ++i) Start(i);
    Publish();
    ready_ = standin::Await([this] {
      return std::all_of(ports_.begin(), ports_.end(), [](const Ports& p) {
        return standin::Call(p.operators, "GET", "/-/ready", "").status == 200;
      });
    });
  }

  bool ready() const { return ready_; }
  std::uint16_t entry() const { return ports_[0].entry; }
  std::uint16_t entry_of(std::size_t i) const { return ports_[i].entry; }
  std::uint16_t target() const { return target_port_; }
  pid_t daemon_pid(std::size_t i) const { return daemons_[i]->pid(); }
  pid_t target_pid() const { return target_.pid(); }

  /// Value of a metric of instance `i`.
  double Metric(std::size_t i, const std::string& name) const {
    const std::string text = standin::Call(ports_[i].operators, "GET", "/-/metrics", "").body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
  }

 private:
  struct Ports {
    std::uint16_t entry = 0;
    std::uint16_t operators = 0;
    std::uint16_t mesh = 0;
  };

  static std::uint16_t Free() { return standin::FreePort(); }

  void Start(std::size_t i) {
    json peers = json::array();
    for (std::size_t k = 0; k < kInstances; ++k) {
      peers.push_back({{"instance", "howrah-" + std::to_string(k)},
                       {"data_centre", "howrah"},
                       {"address", "127.0.0.1:" + std::to_string(ports_[k].mesh)}});
    }
    const json settings = {
        {"instance", "howrah-" + std::to_string(i)},
        {"data_centre", "howrah"},
        {"entry", {{"port", ports_[i].entry}, {"max_connections", kManyConnections + 100}}},
        {"operators", {{"port", ports_[i].operators}}},
        {"mesh",
         {{"listen", "127.0.0.1:" + std::to_string(ports_[i].mesh)},
          {"max_message_bytes", 16 << 20},
          {"peers", peers}}},
        {"log_service", {{"host", "127.0.0.1"}, {"port", log_.port()}}},
        {"shutdown", {{"load_balancer_wait_ms", 0}}}};
    const std::string path = dir_ / ("i" + std::to_string(i) + ".json");
    std::ofstream(path) << settings.dump();
    daemons_[i] = std::make_unique<Process>("dogwoodd", std::vector<std::string>{"--config", path},
                                            dir_ / ("i" + std::to_string(i) + ".log"));
  }

  void Publish() const {
    const json secret = {{"key_id", "k1"}, {"salt", kSalt}, {"hash", HashSecret(kSalt, kSecret)}};
    const json document = {
        {"data_centres", {{{"name", "howrah"}}}},
        {"services", {{{"name", "dokan"}}}},
        {"routes", {{{"name", "stock"}, {"path_prefix", "/dokan"}, {"service", "dokan"}}}},
        {"accounts",
         {{{"name", "hospital"}, {"rate", 1e6}, {"burst", 1e6}, {"secrets", {secret}}}}},
        {"targets",
         {{{"name", "dokan-1"},
           {"service", "dokan"},
           {"data_centre", "howrah"},
           {"host", "127.0.0.1"},
           {"port", target_port_},
           {"slots", 64}}}},
        {"exceptions", json::array()}};
    HttpLogSettings settings;
    settings.port = log_.port();
    HttpLogService(settings).Append({EncodeRecord({InstanceId{1}, Incarnation{1}, 1, "operator",
                                                   "measurement", 0, ConfigChange{0, document}})});
  }

  standin::TemporaryDirectory dir_;
  standin::LogServer log_;
  Process target_;
  std::uint16_t target_port_ = 0;
  std::array<Ports, kInstances> ports_;
  std::array<std::unique_ptr<Process>, kInstances> daemons_;
  bool ready_ = false;
};

struct LoadResult {
  std::vector<double> latencies_ms;
  double seconds = 0;
  int failed = 0;

  double Percentile(double p) const {
    if (latencies_ms.empty()) return 0;
    const auto rank = static_cast<std::size_t>(p * static_cast<double>(latencies_ms.size() - 1));
    return latencies_ms[rank];
  }
  double PerSecond() const { return static_cast<double>(latencies_ms.size()) / seconds; }
};

/// One caller's kept connection; sends the next request at its due time, or at once when `interval`
/// is zero. Latency counts from the due time, so that a stall is seen by all requests behind it.
void RunCaller(std::uint16_t port, Clock::duration interval, Clock::time_point end,
               std::vector<double>& latencies, int& failed) {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  session.setKeepAlive(true);
  Clock::time_point due = Clock::now();
  while (due < end && Clock::now() < end) {
    std::this_thread::sleep_until(due);
    const Clock::time_point start = interval.count() == 0 ? Clock::now() : due;
    Poco::Net::HTTPRequest request("GET", "/dokan/rice", "HTTP/1.1");
    request.set("Authorization", std::string("Bearer ") + kSecret);
    request.setKeepAlive(true);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    if (response.getStatus() != 200) ++failed;
    latencies.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    due = interval.count() == 0 ? Clock::now() : due + interval;
  }
}

/// Runs `kCallers` callers; `rate` is their total request rate, 0 for as fast as answers come.
LoadResult RunLoad(std::uint16_t port, double rate) {
  const Clock::duration interval = rate == 0 ? Clock::duration::zero()
                                             : std::chrono::duration_cast<Clock::duration>(
                                                   std::chrono::duration<double>(kCallers / rate));
  const Clock::time_point start = Clock::now();
  LoadResult out;
  std::mutex mutex;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      std::vector<double> latencies;
      int failed = 0;
      try {
        RunCaller(port, interval, start + kRun, latencies, failed);
      } catch (const Poco::Exception&) {
        ++failed;
      }
      const std::lock_guard<std::mutex> lock(mutex);
      out.latencies_ms.insert(out.latencies_ms.end(), latencies.begin(), latencies.end());
      out.failed += failed;
    });
  }
  for (std::thread& caller : callers) caller.join();
  out.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  std::sort(out.latencies_ms.begin(), out.latencies_ms.end());
  return out;
}

void MeasureLatency(const Fleet& fleet, std::uint64_t seed, Report& report) {
  const double cpu_before = UsageOf(fleet.daemon_pid(0)).cpu_s;
  const LoadResult full = RunLoad(fleet.entry(), 0);
  const double cpu = UsageOf(fleet.daemon_pid(0)).cpu_s - cpu_before;
  const double target_before = UsageOf(fleet.target_pid()).cpu_s;
  const LoadResult direct_full = RunLoad(fleet.target(), 0);
  const double target_cpu = UsageOf(fleet.target_pid()).cpu_s - target_before;
  const double half = full.PerSecond() / 2;
  const LoadResult direct = RunLoad(fleet.target(), half);
  const LoadResult routed = RunLoad(fleet.entry(), half);
  report.Add({"7.latency.added_p50", routed.Percentile(0.5) - direct.Percentile(0.5), "ms", 1,
              Relation::kAtMost, direct.Percentile(0.5), seed});
  report.Add({"7.latency.added_p99", routed.Percentile(0.99) - direct.Percentile(0.99), "ms", 1,
              Relation::kAtMost, direct.Percentile(0.99), seed});
  // The baseline is what the simulated target answers per core of its own in a direct call.
  report.Add({"7.throughput.per_core", static_cast<double>(full.latencies_ms.size()) / cpu,
              "requests/s", 0, Relation::kAtLeast,
              static_cast<double>(direct_full.latencies_ms.size()) / target_cpu, seed});
  report.Add({"7.throughput.failed", static_cast<double>(full.failed + routed.failed), "requests",
              0, Relation::kEqual, std::nullopt, seed});
}

void MeasureRest(const Fleet& fleet, std::uint64_t seed, Report& report) {
  const Usage before = UsageOf(fleet.daemon_pid(1));
  const double sent = fleet.Metric(1, "dogwood_mesh_sent_bytes_total");
  const Clock::time_point start = Clock::now();
  std::this_thread::sleep_for(kRest);
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  const Usage after = UsageOf(fleet.daemon_pid(1));
  const double bytes = fleet.Metric(1, "dogwood_mesh_sent_bytes_total") - sent;
  report.Add({"7.rest.cpu", (after.cpu_s - before.cpu_s) / seconds * 100, "% of a core", 1.5,
              Relation::kAtMost, std::nullopt, seed});
  report.Add({"7.rest.memory", after.memory_mb, "MB", 32, Relation::kAtMost, std::nullopt, seed});
  report.Add(
      {"7.rest.sent", bytes / seconds / 1000, "KB/s", 13, Relation::kAtMost, std::nullopt, seed});
}

/// Idle connections of callers, each with POCO's thread. The targets state the design's limits on
/// memory per instance; threads have no target of their own.
void MeasureConnections(const Fleet& fleet, std::uint64_t seed, Report& report) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < static_cast<rlim_t>(kManyConnections) + 200) {
    std::cerr << "not measured: " << kManyConnections << " connections exceed the limit of files\n";
    return;
  }
  const Usage before = UsageOf(fleet.daemon_pid(2));
  std::vector<Poco::Net::StreamSocket> sockets;
  sockets.reserve(kManyConnections);
  const auto port = fleet.entry_of(2);
  for (int i = 0; i < kManyConnections; ++i) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", port));
  }
  const bool open = standin::Await(
      [&] { return fleet.Metric(2, "dogwood_open_connections") >= kManyConnections; });
  const Usage after = UsageOf(fleet.daemon_pid(2));
  if (!open) return;
  report.Add({"7.connections_4800.threads", after.threads - before.threads, "threads",
              kManyConnections, Relation::kAtMost, std::nullopt, seed});
  report.Add({"7.connections_4800.memory_each",
              (after.memory_mb - before.memory_mb) * 1024 / kManyConnections, "KB",
              32 * 1024.0 / kManyConnections, Relation::kAtMost, std::nullopt, seed});
}

void MeasureDaemon(std::uint64_t seed, Report& report) {
  const Fleet fleet;
  if (!fleet.ready()) {
    std::cerr << "not measured: the instances did not become ready\n";
    return;
  }
  MeasureRest(fleet, seed, report);
  MeasureLatency(fleet, seed, report);
  MeasureConnections(fleet, seed, report);
}

const Registration registration("daemon", MeasureDaemon);

}  // namespace
}  // namespace dogwoodport::measure
