#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>

#include "dogwoodport/core/config_reader.h"
#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/snapshot.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kIterations = 4000;

std::string ReadFile(const char* path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Applies random mutations to JSON values and texts.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t n) { return n == 0 ? 0 : random_() % n; }

  /// Replaces, removes or duplicates a random part of `value`.
  void MutateValue(json& value) {
    const bool descend = value.is_structured() && !value.empty() && Below(8) != 0;
    if (!descend) {
      value = RandomValue();
      return;
    }
    auto it = value.begin();
    std::advance(it, Below(value.size()));
    switch (Below(6)) {
      case 0:
        value.erase(it);
        break;
      case 1:
        if (value.is_array()) value.push_back(json(*it));
        if (value.is_object()) value["odd/~name"] = json(*it);
        break;
      default:
        MutateValue(*it);
    }
  }

  /// Overwrites, removes or inserts bytes.
  std::string MutateText(std::string text) {
    for (std::size_t n = 0; n <= Below(4); ++n) {
      const std::size_t at = Below(text.size());
      const auto byte = static_cast<char>(Below(256));
      switch (Below(3)) {
        case 0:
          text[at] = byte;
          break;
        case 1:
          text.erase(at, 1 + Below(20));
          break;
        default:
          text.insert(at, 1 + Below(3), byte);
      }
      if (text.empty()) text.assign(1, '{');
    }
    return text;
  }

 private:
  json RandomValue() {
    static const std::vector<json> values = {nullptr,
                                             true,
                                             0,
                                             -1,
                                             1.5,
                                             1e300,
                                             18'446'744'073'709'551'615ULL,
                                             "",
                                             "khata",
                                             "\xff\xfe",
                                             "/",
                                             std::string(5000, 'x'),
                                             json::array(),
                                             json::object(),
                                             json::array({nullptr}),
                                             std::numeric_limits<std::int64_t>::min(),
                                             "0000000000000000"};
    return values[Below(values.size())];
  }

  std::mt19937_64 random_;
};

std::vector<Record> Records(const json& document) {
  const auto khata = ServiceId::FromName("khata");
  const auto howrah = DataCentreId::FromName("howrah");
  const json patch =
      json::array({{{"op", "replace"}, {"path", "/targets/0/port"}, {"value", 1}},
                   {{"op", "test"}, {"path", "/defaults"}, {"value", json::object()}}});
  const std::vector<RecordBody> bodies = {
      ConfigChange{0, document},
      ConfigPatch{1, patch},
      DelegationChange{howrah, 0, {{InstanceId{5}, Incarnation{2}}}, InstanceId{5}},
      AssignmentBatch{howrah, 3, {{{khata, 3}, TargetId{8}, {3, 1}}}},
      DataCentreChange{"howrah", 0, DataCentreState::kLost},
      TargetChange{"khata-3", 0, TargetState::kDraining},
      SecretChange{"wholesale", 0, SecretAction::kWithdraw, {"wholesale-1"}},
      QuarantineChange{7, 0},
      ShardSplit{khata, 9, 0},
      SnapshotChunk{1, 2, 0, 1, 3, "{}"}};
  std::vector<Record> records;
  for (const RecordBody& body : bodies) {
    records.push_back({InstanceId{1}, Incarnation{1}, records.size() + 1, "a", "r", 0, body});
  }
  return records;
}

}  // namespace

TEST_CASE("a mutated configuration document is read or refused with ConfigError") {
  // Guards against documents that make the reader crash or throw any other exception.
  INFO("seed " << kSeed);
  Mutator mutator(kSeed);
  const std::string text = ReadFile("examples/hooghly/config.json");
  const json document = json::parse(text);
  int refused = 0;
  for (int n = 0; n < kIterations; ++n) {
    try {
      json mutated = document;
      for (std::size_t m = 0; m <= mutator.Below(3); ++m) mutator.MutateValue(mutated);
      if (n % 2 == 0) {
        ReadConfig(mutated, 0);
      } else {
        ReadConfig(ParseConfigText(mutator.MutateText(text)), 0);
      }
    } catch (const ConfigError& e) {
      ++refused;
      CHECK_FALSE(e.faults().empty());
    }
  }
  // The test has no value if all documents are valid or all are invalid.
  CHECK(refused > kIterations / 10);
  CHECK(refused < kIterations);
}

TEST_CASE("a mutated record is applied, refused, or throws UnknownRecordError") {
  INFO("seed " << kSeed);
  Mutator mutator(kSeed + 1);
  const json document = json::parse(ReadFile("examples/hooghly/config.json"));
  std::vector<std::string> texts;
  for (const Record& record : Records(document)) texts.push_back(EncodeRecord(record));
  ControlState state;
  for (int n = 0; n < kIterations; ++n) {
    const std::uint64_t before = state.next_offset();
    const std::string& text = texts[mutator.Below(texts.size())];
    std::string mutated;
    if (n % 2 == 0) {
      json value = json::parse(text);
      value["sequence"] = n;
      mutator.MutateValue(value);
      mutated = value.dump(-1, ' ', false, json::error_handler_t::replace);
    } else {
      mutated = mutator.MutateText(text);
    }
    try {
      state.ApplyText(before, mutated);
      CHECK(state.next_offset() == before + 1);
    } catch (const UnknownRecordError&) {
      CHECK(state.next_offset() == before);
    }
  }
  // Every resulting state can be serialised and restored.
  const std::string snapshot = state.Serialize();
  CHECK(ControlState::Deserialize(snapshot, 0).Serialize() == snapshot);
}

TEST_CASE("a mutated snapshot is read or refused with StateError") {
  INFO("seed " << kSeed);
  Mutator mutator(kSeed + 2);
  ControlState state;
  const json document = json::parse(ReadFile("examples/hooghly/config.json"));
  for (const Record& record : Records(document)) state.Apply(state.next_offset(), record);
  const std::string text = state.Serialize();
  const json value = json::parse(text);
  int refused = 0;
  for (int n = 0; n < kIterations / 4; ++n) {
    json mutated = value;
    mutator.MutateValue(mutated);
    const std::string damaged = n % 2 == 0
                                    ? mutated.dump(-1, ' ', false, json::error_handler_t::replace)
                                    : mutator.MutateText(text);
    try {
      const ControlState read = ControlState::Deserialize(damaged, 0);
      CHECK(ControlState::Deserialize(read.Serialize(), 0).Digest() == read.Digest());
    } catch (const StateError&) {
      ++refused;
    }
  }
  CHECK(refused > 0);
}

}  // namespace dogwoodport
