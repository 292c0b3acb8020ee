#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/snapshot.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

const ServiceId kKhata = ServiceId::FromName("khata");
const DataCentreId kHowrah = DataCentreId::FromName("howrah");
const DataCentreId kBarasat = DataCentreId::FromName("barasat");
const AccountId kPuja = AccountId::FromName("puja");

SecretConfig Secret(const std::string& key_id) {
  return {key_id, std::string(16, 'a'), std::string(64, 'b')};
}

json Document(const std::string& policy = "hold") {
  json document = json::parse(R"({
    "data_centres": [{"name": "howrah"}, {"name": "barasat"}],
    "services": [{"name": "khata", "keyed": true, "shards": 4}],
    "accounts": [{"name": "puja", "secrets": [{"key_id": "k1"}]}],
    "targets": [{"name": "khata-1", "service": "khata", "data_centre": "howrah",
                 "host": "127.0.0.1", "port": 9001}]
  })");
  document["services"][0]["on_isolation"] = policy;
  document["accounts"][0]["secrets"][0]["salt"] = std::string(16, 'a');
  document["accounts"][0]["secrets"][0]["hash"] = std::string(64, 'b');
  return document;
}

/// A state and a writer whose records are numbered automatically.
struct Fixture {
  explicit Fixture(const std::string& policy = "hold") {
    REQUIRE(Apply(ConfigChange{0, Document(policy)}).outcome == ApplyOutcome::kApplied);
  }

  ApplyResult Apply(RecordBody body) { return state.Apply(state.next_offset(), Next(body)); }

  Record Next(RecordBody body) {
    return {InstanceId{1}, Incarnation{1}, ++sequence, "asha", "why", 5, std::move(body)};
  }

  std::uint64_t Delegate(DataCentreId data_centre, std::uint64_t expected) {
    const std::uint64_t offset = state.next_offset();
    const ApplyResult result = Apply(
        DelegationChange{data_centre, expected, {{InstanceId{7}, Incarnation{1}}}, InstanceId{7}});
    REQUIRE(result.outcome == ApplyOutcome::kApplied);
    return offset;
  }

  std::vector<std::string> ValidKeys() const {
    std::vector<std::string> keys;
    for (const auto& secret : state.config()->accounts[0].secrets) keys.push_back(secret.key_id);
    return keys;
  }

  ControlState state;
  std::uint64_t sequence = 0;
};

}  // namespace

TEST_CASE("records are applied in offset order only") {
  Fixture fixture;
  const Record record = fixture.Next(TargetChange{"khata-1", 0, TargetState::kDraining});
  CHECK_THROWS_AS(fixture.state.Apply(fixture.state.next_offset() + 1, record), StateError);
  CHECK_THROWS_AS(fixture.state.Apply(fixture.state.next_offset() - 1, record), StateError);
  CHECK(fixture.state.target(TargetId::FromName("khata-1")).version == 0);
}

TEST_CASE("a record with a stale expected version changes only the audit") {
  // Guards against lost updates: of two concurrent changes, the later must not silently undo the
  // earlier.
  Fixture fixture;
  struct Row {
    const char* name;
    RecordBody body;
  };
  const std::vector<Row> rows = {
      {"document", ConfigChange{0, Document()}},
      {"patch", ConfigPatch{0, json::array()}},
      {"delegation", DelegationChange{kHowrah, 9, {{InstanceId{7}}}, InstanceId{7}}},
      {"batch", AssignmentBatch{kHowrah, 9, {{{kKhata, 0}, TargetId{3}, {9, 1}}}}},
      {"data centre", DataCentreChange{"howrah", 1, DataCentreState::kLost}},
      {"target", TargetChange{"khata-1", 1, TargetState::kDraining}},
      {"secret", SecretChange{"puja", 1, SecretAction::kWithdraw, {"k1"}}},
      {"quarantine", QuarantineChange{5, 1}},
      {"split", ShardSplit{kKhata, 5, 1}}};
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(fixture.Apply(row.body).outcome == ApplyOutcome::kStale);
    CHECK(fixture.state.audit().back().outcome == ApplyOutcome::kStale);
  }
  CHECK(fixture.state.config()->version == 1);
  CHECK(fixture.state.delegations().empty());
  CHECK(fixture.state.assignments().empty());
  CHECK(fixture.ValidKeys() == std::vector<std::string>{"k1"});
}

TEST_CASE("a duplicate record takes effect once") {
  Fixture fixture;
  const Record first = fixture.Next(TargetChange{"khata-1", 0, TargetState::kDraining});
  const Record second = fixture.Next(TargetChange{"khata-1", 1, TargetState::kInService});
  auto apply = [&](const Record& record) {
    return fixture.state.Apply(fixture.state.next_offset(), record).outcome;
  };
  CHECK(apply(first) == ApplyOutcome::kApplied);
  CHECK(apply(second) == ApplyOutcome::kApplied);
  CHECK(apply(first) == ApplyOutcome::kRepeated);
  SECTION("a record that arrives after a later one is not a duplicate") {
    const Record early = fixture.Next(QuarantineChange{1, 0});
    const Record late = fixture.Next(QuarantineChange{2, 0});
    CHECK(apply(late) == ApplyOutcome::kApplied);
    CHECK(apply(early) == ApplyOutcome::kApplied);
    CHECK(apply(early) == ApplyOutcome::kRepeated);
  }
  SECTION("records of an earlier incarnation are stale") {
    Record other = fixture.Next(QuarantineChange{1, 0});
    other.incarnation = Incarnation{2};
    other.sequence = 1;
    CHECK(apply(other) == ApplyOutcome::kApplied);
    CHECK(apply(fixture.Next(QuarantineChange{2, 0})) == ApplyOutcome::kStale);
  }
}

TEST_CASE("an invalid document is refused as a whole") {
  Fixture fixture;
  json document = Document();
  document["targets"][0]["port"] = 0;
  document["defaults"]["rate"] = 7;
  CHECK(fixture.Apply(ConfigChange{1, document}).outcome == ApplyOutcome::kRefused);
  CHECK(fixture.state.config()->defaults.rate == 100);
  SECTION("a changed number of shards") {
    document = Document();
    document["services"][0]["shards"] = 8;
    CHECK(fixture.Apply(ConfigChange{1, document}).outcome == ApplyOutcome::kRefused);
  }
}

TEST_CASE("a patch changes parts of the document") {
  Fixture fixture;
  const auto patch = [](const char* op, const char* path, json value) {
    return json::array({{{"op", op}, {"path", path}, {"value", std::move(value)}}});
  };
  CHECK(fixture.Apply(ConfigPatch{1, patch("replace", "/targets/0/port", 9002)}).outcome ==
        ApplyOutcome::kApplied);
  CHECK(fixture.state.config()->targets[0].port == 9002);
  CHECK(fixture.state.config()->version == 2);
  CHECK(fixture.Apply(ConfigPatch{2, patch("replace", "/targets/9/port", 1)}).outcome ==
        ApplyOutcome::kRefused);
  // Copying the document into itself would double its size with each operation.
  const json copy = json::array({{{"op", "copy"}, {"from", ""}, {"path", "/a"}}});
  CHECK(fixture.Apply(ConfigPatch{2, copy}).outcome == ApplyOutcome::kRefused);
  CHECK(fixture.Apply(ConfigPatch{2, 7}).outcome == ApplyOutcome::kRefused);
}

TEST_CASE("added and withdrawn secrets") {
  Fixture fixture;
  REQUIRE(fixture.Apply(SecretChange{"puja", 0, SecretAction::kAdd, Secret("k2")}).outcome ==
          ApplyOutcome::kApplied);
  CHECK(fixture.ValidKeys() == std::vector<std::string>{"k1", "k2"});
  SECTION("at most two secrets are valid at once") {
    CHECK(fixture.Apply(SecretChange{"puja", 1, SecretAction::kAdd, Secret("k3")}).outcome ==
          ApplyOutcome::kRefused);
  }
  SECTION("a withdrawn secret stays invalid when an older document is published again") {
    CHECK(fixture.Apply(SecretChange{"puja", 1, SecretAction::kWithdraw, {"k1"}}).outcome ==
          ApplyOutcome::kApplied);
    CHECK(fixture.Apply(ConfigChange{1, Document()}).outcome == ApplyOutcome::kApplied);
    CHECK(fixture.ValidKeys() == std::vector<std::string>{"k2"});
    CHECK(fixture.Apply(SecretChange{"puja", 2, SecretAction::kAdd, Secret("k1")}).outcome ==
          ApplyOutcome::kRefused);
  }
  SECTION("an added secret remains valid when an older document is published again") {
    CHECK(fixture.Apply(ConfigChange{1, Document()}).outcome == ApplyOutcome::kApplied);
    CHECK(fixture.ValidKeys() == std::vector<std::string>{"k1", "k2"});
  }
}

TEST_CASE("assignments") {
  Fixture fixture(GENERATE("hold", "yield"));
  const bool yields =
      std::holds_alternative<YieldOnIsolation>(fixture.state.config()->services[0].on_isolation);
  const std::uint64_t howrah = fixture.Delegate(kHowrah, 0);
  const std::uint64_t barasat = fixture.Delegate(kBarasat, 0);
  const ShardId shard{kKhata, 2};
  const auto move = [&](DataCentreId home, std::uint64_t delegation, std::uint64_t counter,
                        TargetId target) {
    return fixture
        .Apply(AssignmentBatch{home, delegation, {{shard, target, {delegation, counter}}}})
        .outcome;
  };
  REQUIRE(move(kHowrah, howrah, 5, TargetId{1}) == ApplyOutcome::kApplied);
  SECTION("an older epoch does not replace a newer one") {
    CHECK(move(kHowrah, howrah, 4, TargetId{2}) == ApplyOutcome::kStale);
    CHECK(move(kHowrah, howrah, 6, TargetId{2}) == ApplyOutcome::kApplied);
  }
  SECTION("moves of a replaced coordinator are stale") {
    fixture.Delegate(kHowrah, howrah);
    CHECK(move(kHowrah, howrah, 6, TargetId{2}) == ApplyOutcome::kStale);
  }
  SECTION("another data centre can take a shard only if it is released, lost or yielded") {
    // Guards against two owners: a data centre that sends no reports may still serve its keys.
    CHECK(move(kBarasat, barasat, 1, TargetId{9}) == ApplyOutcome::kStale);
    SECTION("released") {
      CHECK(move(kHowrah, howrah, 6, TargetId{}) == ApplyOutcome::kApplied);
      CHECK(move(kBarasat, barasat, 2, TargetId{9}) == ApplyOutcome::kApplied);
      CHECK(move(kHowrah, howrah, 7, TargetId{1}) == ApplyOutcome::kStale);
    }
    SECTION("withdrawn but not released") {
      fixture.Apply(DataCentreChange{"howrah", 0, DataCentreState::kWithdrawn});
      CHECK(move(kBarasat, barasat, 2, TargetId{9}) == ApplyOutcome::kStale);
    }
    SECTION("lost") {
      fixture.Apply(DataCentreChange{"howrah", 0, DataCentreState::kLost});
      CHECK(move(kBarasat, barasat, 2, TargetId{9}) == ApplyOutcome::kApplied);
    }
    SECTION("yielded") {
      fixture.Apply(DataCentreChange{"howrah", 0, DataCentreState::kYielded});
      CHECK(move(kBarasat, barasat, 2, TargetId{9}) ==
            (yields ? ApplyOutcome::kApplied : ApplyOutcome::kStale));
    }
  }
}

TEST_CASE("a delegation requires a valid group that contains the coordinator") {
  Fixture fixture;
  const Member a{InstanceId{1}, Incarnation{1}};
  const Member witness{InstanceId{2}, Incarnation{1}, true};
  struct Row {
    const char* name;
    std::vector<Member> members;
    InstanceId coordinator;
  };
  const std::vector<Row> rows = {{"no members", {}, a.id},
                                 {"member twice", {a, a}, a.id},
                                 {"coordinator outside", {a}, InstanceId{9}},
                                 {"coordinator is a witness", {a, witness}, witness.id},
                                 {"eight members", std::vector<Member>(8, a), a.id}};
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(fixture.Apply(DelegationChange{kHowrah, 0, row.members, row.coordinator}).outcome ==
          ApplyOutcome::kRefused);
  }
  CHECK(fixture.Apply(DelegationChange{kHowrah, 0, {a, witness}, a.id}).outcome ==
        ApplyOutcome::kApplied);
}

TEST_CASE("the shard index of a split is never reused") {
  // Guards against an old assignment of an index being applied to another key.
  Fixture fixture;
  fixture.Apply(ShardSplit{kKhata, 11, 0, SplitAction::kSplit});
  fixture.Apply(ShardSplit{kKhata, 11, 1, SplitAction::kMerge});
  fixture.Apply(ShardSplit{kKhata, 12, 2, SplitAction::kSplit});
  REQUIRE(fixture.state.splits(kKhata)->splits.size() == 1);
  CHECK(fixture.state.splits(kKhata)->splits[0].index == 5);
}

TEST_CASE("a malformed record is skipped; a record of another version is not") {
  Fixture fixture;
  const std::uint64_t offset = fixture.state.next_offset();
  CHECK(fixture.state.ApplyText(offset, "{").outcome == ApplyOutcome::kRefused);
  CHECK(fixture.state.next_offset() == offset + 1);
  CHECK_THROWS_AS(
      fixture.state.ApplyText(
          offset + 1, EncodeRecord(fixture.Next(QuarantineChange{1, 0})).replace(2, 5, "actxr")),
      UnknownRecordError);
  CHECK(fixture.state.next_offset() == offset + 1);
}

TEST_CASE("the audit keeps the last 1,000 records") {
  Fixture fixture;
  for (std::uint64_t n = 0; n < 1200; ++n) {
    fixture.Apply(
        TargetChange{"khata-1", n, n % 2 == 0 ? TargetState::kDraining : TargetState::kInService});
  }
  REQUIRE(fixture.state.audit().size() == kMaxAuditEntries);
  const AuditEntry& last = fixture.state.audit().back();
  CHECK(last.offset == fixture.state.next_offset() - 1);
  CHECK(last.what == "target_change khata-1");
  CHECK(last.from == "draining");
  CHECK(last.to == "in_service");
  CHECK(last.actor == "asha");
  CHECK(last.reason == "why");
}

TEST_CASE("snapshots") {
  Fixture fixture;
  fixture.Delegate(kHowrah, 0);
  fixture.Apply(SecretChange{"puja", 0, SecretAction::kWithdraw, {"k1"}});
  fixture.Apply(ShardSplit{kKhata, 11, 0, SplitAction::kSplit});
  for (int n = 0; n < 600; ++n) fixture.Apply(QuarantineChange{static_cast<std::uint64_t>(n), 0});
  const auto chunks = MakeSnapshot(fixture.state);
  REQUIRE(chunks.size() > 2);
  SnapshotAssembler assembler;
  auto add = [&](const SnapshotChunk& chunk) { return assembler.Add(chunk, 0); };

  SECTION("reordered and duplicate chunks restore the same state") {
    for (auto it = chunks.rbegin(); it != chunks.rend(); ++it) {
      CHECK_FALSE(add(*it));
      CHECK_FALSE(add(chunks.back()));
    }
    const auto state = assembler.TakeLatest();
    REQUIRE(state);
    CHECK(state->Digest() == fixture.state.Digest());
    CHECK(state->config()->version == 1);
    CHECK(state->config()->accounts[0].secrets.empty());
  }
  SECTION("a damaged or incomplete snapshot is refused and the previous one is used") {
    for (const auto& chunk : chunks) CHECK_FALSE(add(chunk));
    fixture.Apply(QuarantineChange{9999, 0});
    auto later = MakeSnapshot(fixture.state);
    SECTION("damaged") { later[1].payload[100] ^= 1; }
    SECTION("half-written") { later.pop_back(); }
    SECTION("another base offset") {
      for (auto& chunk : later) ++chunk.base_offset;
    }
    bool fault = false;
    for (const auto& chunk : later) fault |= add(chunk).has_value();
    CHECK(fault == (later.size() == later[0].count));
    CHECK(assembler.latest_base() == chunks[0].base_offset);
  }
  SECTION("chunks with an invalid index or count are refused") {
    SnapshotChunk chunk = chunks[0];
    chunk.index = chunk.count;
    CHECK(add(chunk));
    chunk.count = kMaxSnapshotChunks + 1;
    CHECK(add(chunk));
  }
}

}  // namespace dogwoodport
