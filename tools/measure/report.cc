#include "measure/report.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace dogwoodport::measure {
namespace {

std::map<std::string, Part>& Parts() {
  static std::map<std::string, Part> parts;
  return parts;
}

const char* RelationName(Relation relation) {
  switch (relation) {
    case Relation::kAtMost:
      return "<=";
    case Relation::kAtLeast:
      return ">=";
    case Relation::kEqual:
      return "==";
  }
  return "?";
}

void PrintTable(const Report& report) {
  std::cout << std::left << std::setw(52) << "id" << std::right << std::setw(14) << "value"
            << "  " << std::left << std::setw(12) << "unit" << std::setw(16) << "target"
            << std::setw(14) << "baseline" << std::setw(10) << "seed"
            << "ok\n";
  for (const Result& r : report.results()) {
    std::cout << std::left << std::setw(52) << r.id << std::right << std::setw(14) << r.value
              << "  " << std::left << std::setw(12) << r.unit << std::setw(3)
              << RelationName(r.relation) << std::setw(13) << r.target << std::setw(14)
              << (r.baseline ? std::to_string(*r.baseline) : "-") << std::setw(10) << r.seed
              << (r.ok() ? "yes" : "NO") << "\n";
  }
}

void WriteJson(const Report& report, const std::string& path) {
  nlohmann::json list = nlohmann::json::array();
  for (const Result& r : report.results()) {
    list.push_back({{"id", r.id},
                    {"value", r.value},
                    {"unit", r.unit},
                    {"target", r.target},
                    {"relation", RelationName(r.relation)},
                    {"baseline", r.baseline ? nlohmann::json(*r.baseline) : nlohmann::json()},
                    {"seed", r.seed},
                    {"ok", r.ok()}});
  }
  std::ofstream file(path);
  file << list.dump(2) << "\n";
}

}  // namespace

bool Result::ok() const noexcept {
  switch (relation) {
    case Relation::kAtMost:
      return value <= target;
    case Relation::kAtLeast:
      return value >= target;
    case Relation::kEqual:
      return value == target;
  }
  return false;
}

Registration::Registration(std::string name, Part part) {
  Parts().emplace(std::move(name), std::move(part));
}

}  // namespace dogwoodport::measure

// Usage: measure OUTPUT.json [SEED [PART...]]. Runs all registered parts or the named ones.
int main(int argc, char** argv) {
  using namespace dogwoodport::measure;  // NOLINT(google-build-using-namespace)
  if (argc < 2) {
    std::cerr << "usage: measure OUTPUT.json [SEED [PART...]]\n";
    return 2;
  }
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  const std::vector<std::string> chosen(argv + std::min(argc, 3), argv + argc);
  Report report;
  for (const auto& [name, part] : Parts()) {
    if (!chosen.empty() && std::find(chosen.begin(), chosen.end(), name) == chosen.end()) continue;
    std::cerr << "measuring " << name << "\n";
    part(seed, report);
  }
  PrintTable(report);
  WriteJson(report, argv[1]);
  return 0;
}
