#pragma once

/// @file
/// JSON fields and enumeration names of the records and of the structs that they contain.

#include "dogwoodport/core/detail/json_archive.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

template <typename Archive, typename T>
concept ArchiveOf = std::same_as<Archive, detail::JsonWriter> ||
    (std::same_as<Archive, detail::JsonReader> && !std::is_const_v<T>);

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

template <typename A, Is<Epoch> T>
void Describe(A& field, T& self) {
  field("delegation", self.delegation);
  field("counter", self.counter);
}

template <typename A, Is<ShardId> T>
void Describe(A& field, T& self) {
  field("service", self.service);
  field("index", self.index);
}

template <typename A, Is<Member> T>
void Describe(A& field, T& self) {
  field("id", self.id);
  field("incarnation", self.incarnation);
  field("witness", self.witness);
}

template <typename A, Is<Delegation> T>
void Describe(A& field, T& self) {
  field("data_centre", self.data_centre);
  field("offset", self.offset);
  field("members", self.members);
  field("coordinator", self.coordinator);
}

template <typename A, Is<Assignment> T>
void Describe(A& field, T& self) {
  field("shard", self.shard);
  field("target", self.target);
  field("epoch", self.epoch);
}

template <typename A, Is<SecretConfig> T>
void Describe(A& field, T& self) {
  field("key_id", self.key_id);
  field("salt", self.salt_hex);
  field("hash", self.hash_hex);
}

template <typename A, Is<ConfigChange> T>
void Describe(A& field, T& self) {
  field("expected_version", self.expected_version);
  field("document", self.document);
}

template <typename A, Is<ConfigPatch> T>
void Describe(A& field, T& self) {
  field("expected_version", self.expected_version);
  field("operations", self.operations);
}

template <typename A, Is<DelegationChange> T>
void Describe(A& field, T& self) {
  field("data_centre", self.data_centre);
  field("expected_epoch", self.expected_epoch);
  field("members", self.members);
  field("coordinator", self.coordinator);
}

template <typename A, Is<AssignmentBatch> T>
void Describe(A& field, T& self) {
  field("data_centre", self.data_centre);
  field("delegation", self.delegation);
  field("moves", self.moves);
}

template <typename A, Is<DataCentreChange> T>
void Describe(A& field, T& self) {
  field("data_centre", self.data_centre);
  field("expected_version", self.expected_version);
  field("state", self.state);
}

template <typename A, Is<TargetChange> T>
void Describe(A& field, T& self) {
  field("target", self.target);
  field("expected_version", self.expected_version);
  field("state", self.state);
}

template <typename A, Is<SecretChange> T>
void Describe(A& field, T& self) {
  field("account", self.account);
  field("expected_version", self.expected_version);
  field("action", self.action);
  field("secret", self.secret);
}

template <typename A, Is<QuarantineChange> T>
void Describe(A& field, T& self) {
  field("fingerprint", self.fingerprint);
  field("expected_version", self.expected_version);
  field("state", self.state);
}

template <typename A, Is<ShardSplit> T>
void Describe(A& field, T& self) {
  field("service", self.service);
  field("key_hash", self.key_hash);
  field("expected_version", self.expected_version);
  field("action", self.action);
}

template <typename A, Is<SnapshotChunk> T>
void Describe(A& field, T& self) {
  field("id", self.id);
  field("base_offset", self.base_offset);
  field("index", self.index);
  field("count", self.count);
  field("checksum", self.checksum);
  field("payload", self.payload);
}

namespace detail {

template <>
struct EnumNames<DataCentreState> {
  static constexpr std::array<std::pair<DataCentreState, std::string_view>, 4> kTable{
      {{DataCentreState::kInService, "in_service"},
       {DataCentreState::kWithdrawn, "withdrawn"},
       {DataCentreState::kYielded, "yielded"},
       {DataCentreState::kLost, "lost"}}};
};

template <>
struct EnumNames<TargetState> {
  static constexpr std::array<std::pair<TargetState, std::string_view>, 2> kTable{
      {{TargetState::kInService, "in_service"}, {TargetState::kDraining, "draining"}}};
};

template <>
struct EnumNames<SecretAction> {
  static constexpr std::array<std::pair<SecretAction, std::string_view>, 2> kTable{
      {{SecretAction::kAdd, "add"}, {SecretAction::kWithdraw, "withdraw"}}};
};

template <>
struct EnumNames<QuarantineState> {
  static constexpr std::array<std::pair<QuarantineState, std::string_view>, 2> kTable{
      {{QuarantineState::kQuarantined, "quarantined"}, {QuarantineState::kReleased, "released"}}};
};

template <>
struct EnumNames<SplitAction> {
  static constexpr std::array<std::pair<SplitAction, std::string_view>, 2> kTable{
      {{SplitAction::kSplit, "split"}, {SplitAction::kMerge, "merge"}}};
};

}  // namespace detail
}  // namespace dogwoodport
