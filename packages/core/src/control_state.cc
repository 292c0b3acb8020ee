#include "dogwoodport/core/control_state.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "dogwoodport/core/config_reader.h"
#include "dogwoodport/core/detail/json_text.h"
#include "dogwoodport/core/detail/state_fields.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::uint32_t kSnapshotFormat = 1;
constexpr std::size_t kMaxAuditTextBytes = 256;
constexpr std::size_t kMaxAccountSecrets = 2;

std::string Truncate(std::string text) {
  if (text.size() <= kMaxAuditTextBytes) return text;
  // Truncate at a character boundary to keep the text valid UTF-8.
  std::size_t n = kMaxAuditTextBytes;
  while (n > 0 && (static_cast<unsigned char>(text[n]) & 0xC0) == 0x80) --n;
  text.resize(n);
  return text + "...";
}

std::string VersionText(std::uint64_t version) { return "version " + std::to_string(version); }

ApplyResult Stale(const char* what, std::uint64_t expected, std::uint64_t current) {
  return {ApplyOutcome::kStale, std::string("expected ") + what + " " + std::to_string(expected) +
                                    ", current is " + std::to_string(current)};
}

ApplyResult Refused(std::string detail) { return {ApplyOutcome::kRefused, std::move(detail)}; }

template <typename Map, typename Key>
auto* FindIn(Map& map, const Key& key) {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

template <typename List>
bool HasId(const List& list, auto id) {
  return std::any_of(list.begin(), list.end(), [&](const auto& entry) { return entry.id == id; });
}

const ServiceConfig* FindService(const Config& config, ServiceId id) {
  for (const ServiceConfig& service : config.services) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

/// Returns a fault if `after` changes whether a service is keyed or its number of shards. The shard
/// of a key is its hash modulo this number, so a change would move keys to other shards.
std::string ShardCountFault(const Config& before, const Config& after) {
  for (const ServiceConfig& service : after.services) {
    const ServiceConfig* old = FindService(before, service.id);
    if (old == nullptr ||
        (old->keyed == service.keyed && old->shard_count == service.shard_count)) {
      continue;
    }
    return "keyed and shards of service '" + service.name + "' cannot change";
  }
  return {};
}

/// Returns a fault if the patch contains an operation that is not allowed. Operations that copy
/// parts of the document could double its size with each step.
std::string PatchFault(const json& operations) {
  if (!operations.is_array()) return "the patch is not a list of operations";
  constexpr std::array<std::string_view, 4> kAllowed = {"add", "remove", "replace", "test"};
  for (const json& operation : operations) {
    const auto it = operation.is_object() ? operation.find("op") : operation.end();
    const bool allowed = operation.is_object() && it != operation.end() && it->is_string() &&
                         std::find(kAllowed.begin(), kAllowed.end(),
                                   it->get_ref<const std::string&>()) != kAllowed.end();
    if (!allowed) return "a patch operation is not add, remove, replace or test";
  }
  return {};
}

}  // namespace

/// Applies the bodies of records to a state. Each overload also sets `what`, `from` and `to` of the
/// audit entry where they apply.
class RecordApplier {
 public:
  RecordApplier(ControlState& state, std::uint64_t offset, const Record& record, AuditEntry& audit)
      : state_(state), offset_(offset), record_(record), audit_(audit) {}

  ApplyResult operator()(const ConfigChange& change) {
    return Publish(change.expected_version, [&]() -> const json& { return change.document; });
  }

  ApplyResult operator()(const ConfigPatch& change) {
    if (std::string fault = PatchFault(change.operations); !fault.empty()) return Refused(fault);
    return Publish(change.expected_version, [&] {
      const std::string& text = state_.document_;
      json document = json::parse(text.empty() ? "{}" : text);
      document.patch_inplace(change.operations);
      return document;
    });
  }

  ApplyResult operator()(const DelegationChange& change) {
    const Delegation* old = state_.delegation(change.data_centre);
    const std::uint64_t current = old == nullptr ? 0 : old->offset;
    audit_.what += " " + detail::ToHex(change.data_centre.value);
    audit_.from = "epoch " + std::to_string(current);
    audit_.to = "epoch " + std::to_string(offset_) + ", coordinator " +
                detail::ToHex(change.coordinator.value) + ", " +
                std::to_string(change.members.size()) + " members";
    if (change.expected_epoch != current) return Stale("epoch", change.expected_epoch, current);
    if (std::string fault = GroupFault(change); !fault.empty()) return Refused(fault);
    state_.delegations_[change.data_centre] =
        Delegation{change.data_centre, offset_, change.members, change.coordinator};
    return {};
  }

  ApplyResult operator()(const AssignmentBatch& batch) {
    const Delegation* current = state_.delegation(batch.data_centre);
    const std::uint64_t epoch = current == nullptr ? 0 : current->offset;
    audit_.what += " " + detail::ToHex(batch.data_centre.value);
    if (current == nullptr || batch.delegation != epoch) {
      return Stale("delegation", batch.delegation, epoch);
    }
    std::size_t applied = 0;
    for (const Assignment& move : batch.moves) applied += Move(batch, move) ? 1 : 0;
    audit_.to = std::to_string(applied) + " of " + std::to_string(batch.moves.size()) + " moves";
    if (applied == 0 && !batch.moves.empty()) {
      return {ApplyOutcome::kStale, "all moves are older or of shards held elsewhere"};
    }
    return {};
  }

  ApplyResult operator()(const DataCentreChange& change) {
    audit_.what += " " + change.data_centre;
    const auto id = DataCentreId::FromName(change.data_centre);
    if (!HasId(state_.config_->data_centres, id)) return Refused("unknown data centre");
    return ChangeEntity(state_.data_centres_, id, change);
  }

  ApplyResult operator()(const TargetChange& change) {
    audit_.what += " " + change.target;
    const auto id = TargetId::FromName(change.target);
    if (!HasId(state_.config_->targets, id)) return Refused("unknown target");
    return ChangeEntity(state_.targets_, id, change);
  }

  ApplyResult operator()(const SecretChange& change) {
    audit_.what += " " + change.account;
    const auto id = AccountId::FromName(change.account);
    if (!HasId(state_.config_->accounts, id)) return Refused("unknown client account");
    const std::uint64_t version = state_.secrets_version(id);
    audit_.from = VersionText(version);
    audit_.to = VersionText(version + 1) + ", " + std::string(detail::EnumName(change.action)) +
                " " + change.secret.key_id;
    if (change.expected_version != version) {
      return Stale("version", change.expected_version, version);
    }
    ApplyResult result = change.action == SecretAction::kAdd ? AddSecret(id, change.secret)
                                                             : WithdrawSecret(id, change.secret);
    if (result.outcome != ApplyOutcome::kApplied) return result;
    ++state_.secrets_[id].version;
    state_.OverlaySecrets();
    return result;
  }

  ApplyResult operator()(const QuarantineChange& change) {
    const QuarantineEntry* old = state_.quarantine(change.fingerprint);
    const std::uint64_t version = old == nullptr ? 0 : old->version;
    audit_.what += " " + detail::ToHex(change.fingerprint);
    audit_.from = old == nullptr ? "none" : std::string(detail::EnumName(old->state));
    audit_.to = detail::EnumName(change.state);
    if (change.expected_version != version) {
      return Stale("version", change.expected_version, version);
    }
    state_.quarantine_[change.fingerprint] = {version + 1, change.state, offset_};
    LimitQuarantine();
    return {};
  }

  ApplyResult operator()(const ShardSplit& change) {
    const ServiceConfig* service = FindService(*state_.config_, change.service);
    audit_.what += " " + (service ? service->name : detail::ToHex(change.service.value)) + " " +
                   detail::ToHex(change.key_hash);
    audit_.to = detail::EnumName(change.action);
    if (service == nullptr || !service->keyed) return Refused("unknown keyed service");
    SplitTable& table = state_.splits_[change.service];
    if (change.expected_version != table.version) {
      return Stale("version", change.expected_version, table.version);
    }
    ApplyResult result = change.action == SplitAction::kSplit ? Split(table, *service, change)
                                                              : Merge(table, change);
    if (result.outcome == ApplyOutcome::kApplied) ++table.version;
    return result;
  }

  /// Tracks which chunks have been read. A snapshot repeats the state and does not change it.
  ApplyResult operator()(const SnapshotChunk& chunk) {
    SnapshotProgress& progress = state_.snapshot_;
    if (chunk.base_offset <= progress.base) return {};
    if (chunk.index == 0) {
      progress.partial_id = chunk.id;
      progress.next_chunk = 0;
    }
    if (chunk.id != progress.partial_id || chunk.index != progress.next_chunk) return {};
    ++progress.next_chunk;
    if (progress.next_chunk == chunk.count) progress.base = chunk.base_offset;
    return {};
  }

 private:
  /// Publishes the document that `make` returns if it is valid and `expected` is the current
  /// version.
  template <typename Make>
  ApplyResult Publish(std::uint64_t expected, Make make) {
    const std::uint64_t version = state_.config_version_;
    audit_.from = VersionText(version);
    audit_.to = VersionText(version + 1);
    if (expected != version) return Stale("version", expected, version);
    try {
      const json& document = make();
      Config config = ReadConfig(document, record_.time_ms);
      if (std::string fault = ShardCountFault(*state_.config_, config); !fault.empty()) {
        return Refused(fault);
      }
      if (std::string fault = SecretsFault(config); !fault.empty()) return Refused(fault);
      Accept(document, std::move(config));
    } catch (const ConfigError& e) {
      return Refused(e.what());
    } catch (const json::exception& e) {
      return Refused(std::string("the patch does not apply: ") + e.what());
    }
    audit_.to += ", document " + detail::ToHex(detail::HashText(state_.document_));
    return {};
  }

  void Accept(const json& document, Config config) {
    // Stored as text, because the parsed tree takes several times as much memory.
    state_.document_ = document.dump(-1, ' ', false, json::error_handler_t::replace);
    ++state_.config_version_;
    ErasePublishedSecrets(config);
    config.version = state_.config_version_;
    state_.base_config_ = std::make_shared<const Config>(std::move(config));
    state_.RebuildConfig(record_.time_ms);
    EraseAssignmentsOfRemovedServices();
  }

  /// Removes those secrets from the overlay that the document now lists.
  void ErasePublishedSecrets(const Config& config) {
    for (const AccountConfig& account : config.accounts) {
      SecretOverlay* overlay = FindIn(state_.secrets_, account.id);
      if (overlay == nullptr) continue;
      std::erase_if(overlay->added, [&](const SecretConfig& added) {
        return std::any_of(account.secrets.begin(), account.secrets.end(),
                           [&](const SecretConfig& s) { return s.key_id == added.key_id; });
      });
    }
  }

  void EraseAssignmentsOfRemovedServices() {
    const Config& config = *state_.config_;
    std::erase_if(state_.assignments_, [&](const auto& entry) {
      return FindService(config, entry.first.service) == nullptr;
    });
  }

  /// Returns a fault if an account would have more than two valid secrets.
  std::string SecretsFault(const Config& config) const {
    for (const AccountConfig& account : config.accounts) {
      const SecretOverlay* overlay = FindIn(state_.secrets_, account.id);
      if (overlay == nullptr) continue;
      std::set<std::string> ids;
      for (const SecretConfig& s : account.secrets) ids.insert(s.key_id);
      for (const SecretConfig& s : overlay->added) ids.insert(s.key_id);
      for (const std::string& id : overlay->withdrawn) ids.erase(id);
      if (ids.size() > kMaxAccountSecrets) {
        return "account '" + account.name + "' would have more than two valid secrets";
      }
    }
    return {};
  }

  std::string GroupFault(const DelegationChange& change) const {
    // An expected epoch of 0 means that there is no delegation.
    if (offset_ == 0) return "a delegation cannot be the first record of the log";
    if (change.members.empty() || change.members.size() > kMaxGroupMembers) {
      return "a permit group has one to seven members";
    }
    std::set<InstanceId> ids;
    bool has_coordinator = false;
    for (const Member& member : change.members) {
      if (!ids.insert(member.id).second) return "an instance is a member twice";
      has_coordinator |= member.id == change.coordinator && !member.witness;
    }
    return has_coordinator ? "" : "the coordinator is not a member, or a witness";
  }

  /// Records a move; returns whether it is valid. A shard of another data centre can be taken only
  /// after its release, or if that data centre is lost or has yielded the shards of the service.
  bool Move(const AssignmentBatch& batch, const Assignment& move) {
    RecordedAssignment* held = FindIn(state_.assignments_, move.shard);
    if (held != nullptr) {
      const bool same = held->data_centre == batch.data_centre;
      if (same && move.epoch <= held->epoch) return false;
      if (!same && !MayTake(*held, move.shard)) return false;
    }
    if (FindService(*state_.config_, move.shard.service) == nullptr) return false;
    state_.assignments_[move.shard] = {batch.data_centre, move.target, move.epoch};
    return true;
  }

  bool MayTake(const RecordedAssignment& held, const ShardId& shard) const {
    if (held.target == TargetId{}) return true;
    const DataCentreState state = state_.data_centre(held.data_centre).state;
    if (state == DataCentreState::kLost) return true;
    if (state != DataCentreState::kYielded) return false;
    const ServiceConfig* service = FindService(*state_.config_, shard.service);
    return service != nullptr && std::holds_alternative<YieldOnIsolation>(service->on_isolation);
  }

  template <typename Map, typename Id, typename Change>
  ApplyResult ChangeEntity(Map& map, Id id, const Change& change) {
    const auto it = map.find(id);
    const auto old = it == map.end() ? typename Map::mapped_type{} : it->second;
    audit_.from = detail::EnumName(old.state);
    audit_.to = detail::EnumName(change.state);
    if (change.expected_version != old.version) {
      return Stale("version", change.expected_version, old.version);
    }
    map[id] = {old.version + 1, change.state};
    return {};
  }

  const AccountConfig& AccountOf(AccountId id) const {
    const auto& accounts = state_.config_->accounts;
    return *std::find_if(accounts.begin(), accounts.end(),
                         [&](const AccountConfig& a) { return a.id == id; });
  }

  ApplyResult AddSecret(AccountId id, const SecretConfig& secret) {
    const SecretOverlay* overlay = FindIn(state_.secrets_, id);
    if (overlay != nullptr &&
        std::count(overlay->withdrawn.begin(), overlay->withdrawn.end(), secret.key_id) > 0) {
      return Refused("the key id was withdrawn before");
    }
    for (const AccountConfig& account : state_.config_->accounts) {
      for (const SecretConfig& s : account.secrets) {
        if (s.key_id == secret.key_id) return Refused("the key id is in use");
      }
    }
    if (AccountOf(id).secrets.size() >= kMaxAccountSecrets) {
      return Refused("the account has two valid secrets already");
    }
    if (!SecretIsWellFormed(secret)) return Refused("key id, salt or hash is malformed");
    state_.secrets_[id].added.push_back(secret);
    return {};
  }

  /// Checks the secret with `ReadConfig`, so that secrets in records and in documents must meet the
  /// same requirements.
  static bool SecretIsWellFormed(const SecretConfig& secret) {
    const json account = {{"name", "a"}, {"secrets", json::array({detail::ToJson(secret)})}};
    try {
      ReadConfig({{"accounts", json::array({account})}}, 0);
      return true;
    } catch (const ConfigError&) {
      return false;
    }
  }

  ApplyResult WithdrawSecret(AccountId id, const SecretConfig& secret) {
    const auto& valid = AccountOf(id).secrets;
    const bool known = std::any_of(valid.begin(), valid.end(), [&](const SecretConfig& s) {
      return s.key_id == secret.key_id;
    });
    if (!known) return Refused("the account has no valid secret with this key id");
    SecretOverlay& overlay = state_.secrets_[id];
    std::erase_if(overlay.added, [&](const SecretConfig& s) { return s.key_id == secret.key_id; });
    overlay.withdrawn.push_back(secret.key_id);
    return {};
  }

  void LimitQuarantine() {
    auto& map = state_.quarantine_;
    if (map.size() <= kMaxQuarantineEntries) return;
    const auto rank = [](const auto& entry) {
      return std::pair(entry.second.state == QuarantineState::kQuarantined, entry.second.offset);
    };
    map.erase(std::min_element(map.begin(), map.end(),
                               [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
  }

  static auto FindSplit(SplitTable& table, std::uint64_t key_hash) {
    return std::find_if(table.splits.begin(), table.splits.end(),
                        [&](const KeySplit& s) { return s.key_hash == key_hash; });
  }

  static ApplyResult Split(SplitTable& table, const ServiceConfig& service,
                           const ShardSplit& change) {
    if (FindSplit(table, change.key_hash) != table.splits.end()) return Refused("split already");
    if (table.splits.size() >= kMaxSplits) return Refused("the service has 256 splits already");
    // Indices are never reused: an old assignment would be mistaken for that of the new key.
    table.next_index = std::max(table.next_index, service.shard_count);
    table.splits.push_back({change.key_hash, table.next_index++});
    return {};
  }

  ApplyResult Merge(SplitTable& table, const ShardSplit& change) {
    const auto it = FindSplit(table, change.key_hash);
    if (it == table.splits.end()) return Refused("the key has no shard of its own");
    state_.assignments_.erase(ShardId{change.service, it->index});
    table.splits.erase(it);
    return {};
  }

  ControlState& state_;
  std::uint64_t offset_;
  const Record& record_;
  AuditEntry& audit_;
};

ControlState::ControlState(std::uint64_t first_offset)
    : next_offset_(first_offset),
      base_config_(std::make_shared<const Config>()),
      config_(base_config_) {}

ApplyResult ControlState::Apply(std::uint64_t offset, const Record& record) {
  if (offset != next_offset_) {
    throw StateError("record " + std::to_string(offset) + " does not follow; next is " +
                     std::to_string(next_offset_));
  }
  AuditEntry audit{offset,
                   record.time_ms,
                   record.writer,
                   record.incarnation,
                   record.sequence,
                   Truncate(record.actor),
                   std::string(RecordTypeName(record.body))};
  audit.reason = Truncate(record.reason);
  ApplyResult result;
  if (TrackWriter(offset, record, result)) {
    result = std::visit(RecordApplier(*this, offset, record, audit), record.body);
  }
  next_offset_ = offset + 1;
  if (std::holds_alternative<SnapshotChunk>(record.body)) return result;
  audit.outcome = result.outcome;
  audit.detail = Truncate(result.detail);
  audit.what = Truncate(std::move(audit.what));
  AddAudit(std::move(audit));
  return result;
}

ApplyResult ControlState::ApplyText(std::uint64_t offset, std::string_view text) {
  try {
    return Apply(offset, DecodeRecord(text));
  } catch (const UnknownRecordError&) {
    throw;
  } catch (const RecordError& e) {
    if (offset != next_offset_) throw StateError("record does not follow");
    next_offset_ = offset + 1;
    AuditEntry audit{offset};
    audit.what = "malformed record";
    audit.outcome = ApplyOutcome::kRefused;
    audit.detail = Truncate(e.what());
    AddAudit(audit);
    return {ApplyOutcome::kRefused, e.what()};
  }
}

/// Records the sequence number of the record. Returns whether the record should be applied; if not,
/// sets `result` to the reason.
bool ControlState::TrackWriter(std::uint64_t offset, const Record& record, ApplyResult& result) {
  WriterState& writer = writers_[record.writer];
  writer.last_offset = offset;
  if (record.incarnation < writer.incarnation) {
    result = {ApplyOutcome::kStale, "the writer was restarted since"};
    return false;
  }
  if (record.incarnation > writer.incarnation) {
    writer = {record.incarnation, 0, 0, offset};
  }
  if (record.sequence > writer.highest) {
    const std::uint64_t shift = record.sequence - writer.highest;
    writer.seen = shift < kWriterWindow ? writer.seen << shift : 0;
    writer.highest = record.sequence;
  }
  const std::uint64_t age = writer.highest - record.sequence;
  const bool seen = age >= kWriterWindow || (writer.seen >> age & 1) != 0;
  if (seen) {
    result = {ApplyOutcome::kRepeated, "the record was folded before"};
    return false;
  }
  writer.seen |= std::uint64_t{1} << age;
  if (writers_.size() > kMaxWriters) EvictWriter();
  return true;
}

bool ControlState::HasProcessed(InstanceId writer, Incarnation incarnation,
                                std::uint64_t sequence) const {
  const WriterState* entry = FindIn(writers_, writer);
  if (entry == nullptr || entry->incarnation != incarnation) return false;
  if (sequence > entry->highest) return false;
  const std::uint64_t age = entry->highest - sequence;
  return age >= kWriterWindow || (entry->seen >> age & 1) != 0;
}

void ControlState::EvictWriter() {
  writers_.erase(std::min_element(
      writers_.begin(), writers_.end(),
      [](const auto& a, const auto& b) { return a.second.last_offset < b.second.last_offset; }));
}

void ControlState::AddAudit(AuditEntry entry) {
  audit_.push_back(std::move(entry));
  if (audit_.size() > kMaxAuditEntries) audit_.pop_front();
}

void ControlState::RebuildConfig(std::int64_t unix_ms) {
  next_exception_end_ms_.reset();
  for (const ExceptionConfig& entry : base_config_->exceptions) {
    if (!entry.ends_at_ms || *entry.ends_at_ms <= unix_ms) continue;
    next_exception_end_ms_ =
        std::min(*entry.ends_at_ms, next_exception_end_ms_.value_or(*entry.ends_at_ms));
  }
  OverlaySecrets();
}

void ControlState::OverlaySecrets() {
  if (secrets_.empty()) {
    config_ = base_config_;
    return;
  }
  auto config = std::make_shared<Config>(*base_config_);
  for (AccountConfig& account : config->accounts) {
    const SecretOverlay* overlay = FindIn(secrets_, account.id);
    if (overlay == nullptr) continue;
    account.secrets.insert(account.secrets.end(), overlay->added.begin(), overlay->added.end());
    std::erase_if(account.secrets, [&](const SecretConfig& secret) {
      return std::count(overlay->withdrawn.begin(), overlay->withdrawn.end(), secret.key_id) > 0;
    });
  }
  config_ = std::move(config);
}

bool ControlState::RefreshExceptions(std::int64_t unix_ms) {
  if (!next_exception_end_ms_ || unix_ms < *next_exception_end_ms_) return false;
  Config config = ReadConfig(json::parse(document_), unix_ms);
  config.version = config_version_;
  base_config_ = std::make_shared<const Config>(std::move(config));
  RebuildConfig(unix_ms);
  return true;
}

const Delegation* ControlState::delegation(DataCentreId data_centre) const {
  return FindIn(delegations_, data_centre);
}

Versioned<DataCentreState> ControlState::data_centre(DataCentreId id) const {
  const auto* entry = FindIn(data_centres_, id);
  return entry == nullptr ? Versioned<DataCentreState>{} : *entry;
}

Versioned<TargetState> ControlState::target(TargetId id) const {
  const auto* entry = FindIn(targets_, id);
  return entry == nullptr ? Versioned<TargetState>{} : *entry;
}

std::uint64_t ControlState::secrets_version(AccountId account) const {
  const SecretOverlay* overlay = FindIn(secrets_, account);
  return overlay == nullptr ? 0 : overlay->version;
}

const QuarantineEntry* ControlState::quarantine(std::uint64_t fingerprint) const {
  return FindIn(quarantine_, fingerprint);
}

const SplitTable* ControlState::splits(ServiceId service) const { return FindIn(splits_, service); }

struct StateFields {
  template <typename Archive, typename State>
  static void Describe(Archive& field, State& self) {
    field("next_offset", self.next_offset_);
    field("config_version", self.config_version_);
    field("delegations", self.delegations_);
    field("data_centres", self.data_centres_);
    field("targets", self.targets_);
    field("secrets", self.secrets_);
    field("quarantine", self.quarantine_);
    field("splits", self.splits_);
    field("assignments", self.assignments_);
    field("writers", self.writers_);
    field("audit", self.audit_);
    field("snapshot", self.snapshot_);
  }
};

std::string ControlState::Serialize() const {
  json out;
  detail::JsonWriter writer(out);
  StateFields::Describe(writer, *this);
  out["format"] = kSnapshotFormat;
  std::string text = out.dump(-1, ' ', false, json::error_handler_t::replace);
  // The document is inserted as JSON. As a string it would be escaped, and a second time in a
  // chunk.
  text.pop_back();
  return text + ",\"document\":" + (document_.empty() ? "null" : document_) + "}";
}

ControlState ControlState::Deserialize(std::string_view text, std::int64_t unix_ms) {
  if (detail::NestsTooDeep(text)) throw StateError("the snapshot nests too deep");
  const json in = json::parse(text, nullptr, false);
  if (in.is_discarded()) throw StateError("the snapshot is not JSON");
  try {
    detail::JsonReader reader(in);
    std::uint32_t format = 0;
    reader("format", format);
    if (format != kSnapshotFormat) throw StateError("the snapshot has another format");
    ControlState state;
    StateFields::Describe(reader, state);
    json document;
    reader("document", document);
    reader.Finish();
    if (!document.is_null()) {
      state.document_ = document.dump();
      Config config = ReadConfig(document, unix_ms);
      config.version = state.config_version_;
      state.base_config_ = std::make_shared<const Config>(std::move(config));
    }
    state.RebuildConfig(unix_ms);
    return state;
  } catch (const detail::FieldError&) {
    std::throw_with_nested(StateError("the snapshot is no control state"));
  } catch (const ConfigError&) {
    std::throw_with_nested(StateError("the snapshot's configuration is invalid"));
  } catch (const json::exception&) {
    std::throw_with_nested(StateError("the snapshot's configuration is not JSON"));
  }
}

std::uint64_t ControlState::Digest() const { return detail::HashText(Serialize()); }

}  // namespace dogwoodport
