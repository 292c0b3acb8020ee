#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

std::map<std::string, Replayer>& Replayers() {
  static std::map<std::string, Replayer> replayers;
  return replayers;
}

Trace ReadTrace(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string line;
  Trace trace;
  while (std::getline(file, line)) {
    if (line.empty()) continue;
    nlohmann::json value = nlohmann::json::parse(line);
    if (trace.header.is_null()) {
      trace.header = std::move(value);
    } else {
      trace.events.push_back(std::move(value));
    }
  }
  return trace;
}

std::vector<std::string> ReplayFile(const std::filesystem::path& path) {
  try {
    const Trace trace = ReadTrace(path);
    const auto it = Replayers().find(trace.header.at("system").get<std::string>());
    if (it == Replayers().end()) return {"no replayer for this system"};
    return it->second(trace);
  } catch (const std::exception& e) {
    return {std::string("not replayed: ") + e.what()};
  }
}

}  // namespace

Registration::Registration(std::string system, Replayer replayer) {
  Replayers().emplace(std::move(system), std::move(replayer));
}

}  // namespace dogwoodport::replay

// Usage: replay DIRECTORY. Replays all traces below it; exits with 1 if one differs or there is
// none.
int main(int argc, char** argv) {
  using namespace dogwoodport::replay;  // NOLINT(google-build-using-namespace)
  if (argc != 2) {
    std::cerr << "usage: replay DIRECTORY\n";
    return 2;
  }
  std::set<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[1])) {
    if (entry.path().extension() == ".jsonl") paths.insert(entry.path());
  }
  int failed = 0;
  for (const auto& path : paths) {
    const std::vector<std::string> differences = ReplayFile(path);
    for (const std::string& text : differences) std::cout << path.string() << ": " << text << "\n";
    failed += differences.empty() ? 0 : 1;
  }
  std::cout << "traces replayed: " << paths.size() << ", failed: " << failed << "\n";
  return failed == 0 && !paths.empty() ? 0 : 1;
}
