#include <catch2/catch.hpp>

#include "dogwoodport/core/record.h"

namespace dogwoodport {
namespace {

Record MakeRecord(RecordBody body) {
  return {InstanceId::FromName("i1"), Incarnation{3}, 7, "asha", "new \"stall\"\nfor puja",
          1'750'000'000'123,          std::move(body)};
}

const std::vector<RecordBody>& AllBodies() {
  static const std::vector<RecordBody> bodies = {
      ConfigChange{4, {{"accounts", nlohmann::json::array()}}},
      ConfigPatch{4, nlohmann::json::array({{{"op", "remove"}, {"path", "/targets/0"}}})},
      DelegationChange{DataCentreId{1}, 9, {{InstanceId{5}, Incarnation{2}, true}}, InstanceId{5}},
      AssignmentBatch{DataCentreId{1}, 9, {{{ServiceId{2}, 3}, TargetId{~0ULL}, {9, 1}}}},
      DataCentreChange{"howrah", 1, DataCentreState::kYielded},
      TargetChange{"khata-3", 2, TargetState::kDraining},
      SecretChange{"puja", 0, SecretAction::kAdd, {"k1", "00ff", "aa"}},
      QuarantineChange{0xFEEDULL, 1, QuarantineState::kReleased},
      ShardSplit{ServiceId{2}, 0xFFFFFFFFFFFFFFFFULL, 0, SplitAction::kMerge},
      SnapshotChunk{1, 2, 0, 3, 0xABCULL, "{\"a\":1}"}};
  return bodies;
}

}  // namespace

TEST_CASE("encoding and decoding preserve a record") {
  // Guards against a field that is only encoded or only decoded, and against loss of precision in
  // 64-bit values.
  REQUIRE(AllBodies().size() == std::variant_size_v<RecordBody>);
  for (const RecordBody& body : AllBodies()) {
    const std::string text = EncodeRecord(MakeRecord(body));
    INFO(text);
    CHECK(text.find('\n') == std::string::npos);
    const Record record = DecodeRecord(text);
    CHECK(record.body.index() == body.index());
    CHECK(EncodeRecord(record) == text);
  }
}

TEST_CASE("unknown content is distinguished from malformed content") {
  struct Row {
    const char* name;
    const char* path;
    nlohmann::json value;
    bool unknown;
  };
  // Guards against skipping a record that a newer version applies, which would make states diverge,
  // and against one malformed record stopping all instances.
  const auto row = GENERATE(values<Row>({
      {"unknown type", "/type", "merge_fleets", true},
      {"unknown field in the body", "/body/urgent", true, true},
      {"unknown field in the envelope", "/signature", "x", true},
      {"unknown enumerator", "/body/state", "resting", true},
      {"missing field", "/body/target", nullptr, false},
      {"number in place of a name", "/body/target", 7, false},
      {"negative version", "/body/expected_version", -1, false},
      {"fraction", "/sequence", 1.5, false},
      {"writer that is not hexadecimal", "/writer", "zz", false},
  }));
  INFO(row.name);
  auto in = nlohmann::json::parse(
      EncodeRecord(MakeRecord(TargetChange{"khata-3", 2, TargetState::kDraining})));
  const nlohmann::json::json_pointer path(row.path);
  if (row.value.is_null()) {
    in[path.parent_pointer()].erase(path.back());
  } else {
    in[path] = row.value;
  }
  bool unknown = false;
  try {
    DecodeRecord(in.dump());
    FAIL("accepted");
  } catch (const UnknownRecordError&) {
    unknown = true;
  } catch (const RecordError&) {
    unknown = false;
  }
  CHECK(unknown == row.unknown);
}

TEST_CASE("text that is not JSON or nests too deep is a record error") {
  CHECK_THROWS_AS(DecodeRecord(""), RecordError);
  CHECK_THROWS_AS(DecodeRecord("{\"writer\":"), RecordError);
  CHECK_THROWS_AS(DecodeRecord(std::string(1'000'000, '[')), RecordError);
}

}  // namespace dogwoodport
