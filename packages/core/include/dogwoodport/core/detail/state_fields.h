#pragma once

/// @file
/// JSON fields and enumeration names of the serialised control state.

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/detail/record_fields.h"

namespace dogwoodport {

template <typename A, Is<AuditEntry> T>
void Describe(A& field, T& self) {
  field("offset", self.offset);
  field("time_ms", self.time_ms);
  field("writer", self.writer);
  field("incarnation", self.incarnation);
  field("sequence", self.sequence);
  field("actor", self.actor);
  field("what", self.what);
  field("from", self.from);
  field("to", self.to);
  field("reason", self.reason);
  field("outcome", self.outcome);
  field("detail", self.detail);
}

template <typename A, typename T>
requires Is<T, Versioned<DataCentreState>> || Is<T, Versioned<TargetState>>
void Describe(A& field, T& self) {
  field("version", self.version);
  field("state", self.state);
}

template <typename A, Is<SecretOverlay> T>
void Describe(A& field, T& self) {
  field("version", self.version);
  field("added", self.added);
  field("withdrawn", self.withdrawn);
}

template <typename A, Is<KeySplit> T>
void Describe(A& field, T& self) {
  field("key_hash", self.key_hash);
  field("index", self.index);
}

template <typename A, Is<SplitTable> T>
void Describe(A& field, T& self) {
  field("version", self.version);
  field("next_index", self.next_index);
  field("splits", self.splits);
}

template <typename A, Is<RecordedAssignment> T>
void Describe(A& field, T& self) {
  field("data_centre", self.data_centre);
  field("target", self.target);
  field("epoch", self.epoch);
}

template <typename A, Is<QuarantineEntry> T>
void Describe(A& field, T& self) {
  field("version", self.version);
  field("state", self.state);
  field("offset", self.offset);
}

template <typename A, Is<WriterState> T>
void Describe(A& field, T& self) {
  field("incarnation", self.incarnation);
  field("highest", self.highest);
  field("seen", self.seen);
  field("last_offset", self.last_offset);
}

template <typename A, Is<SnapshotProgress> T>
void Describe(A& field, T& self) {
  field("base", self.base);
  field("partial_id", self.partial_id);
  field("next_chunk", self.next_chunk);
}

namespace detail {

template <>
struct EnumNames<ApplyOutcome> {
  static constexpr std::array<std::pair<ApplyOutcome, std::string_view>, 4> kTable{
      {{ApplyOutcome::kApplied, "applied"},
       {ApplyOutcome::kStale, "stale"},
       {ApplyOutcome::kRepeated, "repeated"},
       {ApplyOutcome::kRefused, "refused"}}};
};

/// Encodes a map as a list of [key, value] pairs, because JSON objects allow only string keys.
template <typename K, typename V>
struct JsonCodec<std::map<K, V>> {
  static nlohmann::json To(const std::map<K, V>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, value] : values) list.push_back({ToJson(key), ToJson(value)});
    return list;
  }
  static void From(const nlohmann::json& in, std::map<K, V>& values) {
    if (!in.is_array()) throw FieldError("expected a list of pairs");
    values.clear();
    for (const nlohmann::json& item : in) {
      if (!item.is_array() || item.size() != 2) throw FieldError("expected a pair");
      K key{};
      FromJson(item[0], key);
      FromJson(item[1], values[key]);
    }
  }
};

template <>
struct JsonCodec<std::deque<AuditEntry>> {
  static nlohmann::json To(const std::deque<AuditEntry>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (const AuditEntry& value : values) list.push_back(ToJson(value));
    return list;
  }
  static void From(const nlohmann::json& in, std::deque<AuditEntry>& values) {
    if (!in.is_array()) throw FieldError("expected a list");
    values.clear();
    for (const nlohmann::json& item : in) FromJson(item, values.emplace_back());
  }
};

}  // namespace detail
}  // namespace dogwoodport
