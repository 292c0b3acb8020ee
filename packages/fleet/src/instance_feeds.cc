// Handling of the store's feeds by an instance.

#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "dogwoodport/fleet/instance.h"

namespace dogwoodport::fleet {

using detail::ShortHashOf;

namespace {

/// Maximum length of the reason for which an entry is unusable, in bytes. Parsers quote the entry.
constexpr std::size_t kMaxReasonBytes = 200;

/// Interval at which the addresses of instances are read while no other instance is reachable.
constexpr Duration kRegistryReadInterval{2'000'000};

}  // namespace

void Instance::OnOperatorRecords(const FeedUpdate& update) {
  std::vector<StoreRecord>& recent = recent_changes_[Feed::kOperators];
  recent.insert(recent.end(), update.records.begin(), update.records.end());
  std::set<std::string> withdrawn =
      update.complete ? std::set<std::string>() : view_.withdrawn_data_centres;
  for (const StoreRecord& it : update.records) {
    if (const auto data_centre = protocol_.WithdrawalKey(it.key)) {
      if (it.value) {
        withdrawn.insert(*data_centre);
      } else {
        withdrawn.erase(*data_centre);
      }
      continue;
    }
    if (!it.value || !protocol_.IsConfigKey(it.key)) continue;
    const OperatorRecord record = protocol_.ReadOperatorRecord(it.key, *it.value);
    if (const auto* const config = std::get_if<RoutingConfigPtr>(&record)) {
      ApplyConfig(*config);
    } else if (const auto* const unusable = std::get_if<Unusable>(&record)) {
      log_.Write(LogLevel::kError, "config_unusable",
                 {{"offset", it.offset}, {"reason", unusable->reason}});
    }
  }
  SetWithdrawn(std::move(withdrawn));
  forwarder_.DispatchWaiting();
}

void Instance::ApplyConfig(const RoutingConfigPtr& config) {
  if (view_.config && config->version() <= view_.config->version()) return;
  log_.Write(LogLevel::kInfo, "config_applied",
             {{"from", view_.config ? view_.config->version() : 0},
              {"to", config->version()},
              {"routes", config->routes().size()},
              {"accounts", config->accounts().size()}});
  view_.config = config;
  std::vector<std::string> names;
  for (const Account& it : config->accounts()) {
    if (view_.accounts.Configure(it.name, it.rate, it.burst)) {
      log_.Write(LogLevel::kInfo, "account_limit_changed",
                 {{"account", it.name}, {"rate_per_s", it.rate}, {"burst", it.burst}});
    }
    names.push_back(it.name);
  }
  view_.accounts.RetainAccounts(names);
  net::ServerLimits& limits = callers_.limits();
  limits.message.header_bytes = config->limits().header_bytes;
  limits.message.body_bytes = config->limits().body_bytes;
  limits.header_timeout = config->limits().header_timeout;
  limits.idle_timeout = config->limits().idle_timeout;
}

void Instance::SetWithdrawn(std::set<std::string> withdrawn) {
  if (withdrawn == view_.withdrawn_data_centres) return;
  log_.Write(LogLevel::kInfo, "data_centres_withdrawn", {{"data_centres", withdrawn}});
  view_.withdrawn_data_centres = std::move(withdrawn);
}

void Instance::OnTargetRecords(const FeedUpdate& update) {
  std::set<std::string> listed_ids;
  std::vector<StoreRecord>& recent = recent_changes_[Feed::kTargets];
  for (const StoreRecord& it : update.records) {
    listed_ids.insert(it.key);
    if (ApplyTarget(it, update)) recent.push_back(it);
  }
  if (update.complete) {
    std::vector<std::string> removed_ids;
    for (const auto& [id, target] : view_.directory.targets()) {
      if (listed_ids.count(id) == 0) removed_ids.push_back(id);
    }
    for (const std::string& id : removed_ids) {
      const TargetChange change = view_.directory.Remove(
          id, loop_.now(), target_contacts_.EntriesMayBeMissing(loop_.now()));
      OnTargetChange(id, change, {{"source", "complete_read"}});
    }
  }
  forwarder_.DispatchWaiting();
}

bool Instance::ApplyTarget(const StoreRecord& record, const FeedUpdate& update) {
  const TimePoint now = loop_.now();
  const nlohmann::json details = {{"source", NameOf(update.source)}, {"offset", record.offset}};
  if (!record.value) {
    const TargetChange change =
        view_.directory.Remove(record.key, now, target_contacts_.EntriesMayBeMissing(now));
    OnTargetChange(record.key, change, details);
    // Others may have the entry although this instance does not.
    return true;
  }
  try {
    const TargetEntry entry = protocol_.ReadTarget(record.key, *record.value);
    const Target* const known = view_.directory.Find(entry.id);
    const bool moves_to_unknown_service = known != nullptr &&
                                          known->entry.incarnation == entry.incarnation &&
                                          known->entry.service != entry.service && view_.config &&
                                          view_.config->FindService(entry.service) == nullptr;
    if (moves_to_unknown_service) throw std::runtime_error("unknown service");
    target_names_[ShortHashOf(entry.id)] = entry.id;
    const TargetChange change = view_.directory.Apply(entry, now);
    OnTargetChange(entry.id, change, details);
    return change != TargetChange::kNone;
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "target_entry_unusable",
               {{"target", record.key},
                {"offset", record.offset},
                {"reason", std::string(e.what()).substr(0, kMaxReasonBytes)}});
    return false;
  }
}

void Instance::OnTargetChange(const std::string& id, TargetChange change,
                              const nlohmann::json& details) {
  if (change == TargetChange::kNone) return;
  nlohmann::json fields = {
      {"target", id}, {"change", NameOf(change)}, {"directory_version", view_.directory.version()}};
  fields.update(details);
  log_.Write(LogLevel::kInfo, "target_changed", fields);
  if (change == TargetChange::kRestarted) view_.health[id].OnRestart();
  if (change == TargetChange::kRestarted || change == TargetChange::kGone) {
    view_.quarantine.OnTargetLost(id, loop_.now());
  }
  if (change == TargetChange::kGone) ForgetTarget(id);
}

void Instance::ForgetTarget(const std::string& id) {
  // Requests may still be in flight to this target. `RunMaintenance` erases its health data after
  // they have ended.
  target_names_.erase(ShortHashOf(id));
  view_.cold_limiter.Forget(id);
}

void Instance::MarkLeaving(const std::vector<TargetIncarnation>& targets) {
  for (const TargetIncarnation& it : targets) {
    OnTargetChange(it.id, view_.directory.MarkLeaving(it, loop_.now()), {{"source", "peer"}});
  }
}

void Instance::RemoveDoubtfulTargets() {
  if (!view_.directory.has_doubtful() || target_contacts_.EntriesMayBeMissing(loop_.now())) return;
  for (const std::string& id : view_.directory.RemoveDoubtful(loop_.now())) {
    OnTargetChange(id, TargetChange::kGone, {{"source", "expiry"}});
  }
}

void Instance::PushFeed(Feed feed, std::uint64_t from, std::uint64_t end, bool complete) {
  if (feed == Feed::kTargets) target_contacts_.Add(targets_.verified_at());
  std::vector<StoreRecord>& recent = recent_changes_[feed];
  // A complete read does not show which keys were removed, so the other instances must read the
  // feed themselves.
  if (!coordinator_.leading() || complete) {
    recent.clear();
    last_push_from_.erase(feed);
    return;
  }
  // The records of the previous push are sent again in case it was lost.
  const auto last = last_push_from_.find(feed);
  const std::uint64_t since = last == last_push_from_.end() ? from : last->second;
  last_push_from_[feed] = from;
  FeedPush push;
  push.feed = static_cast<std::uint8_t>(feed);
  push.from = since;
  push.end = end;
  for (const StoreRecord& it : recent) {
    if (it.offset >= since) push.records.push_back(it);
  }
  recent = push.records;
  const FeedReader& reader = feed == Feed::kOperators ? operators_ : targets_;
  push.store_was_unavailable = target_contacts_.EntriesMayBeMissing(loop_.now());
  peers_.PushFeed(std::move(push), reader.verified_at());
}

void Instance::OnFeedPush(const FeedPush& push) {
  if (coordinator_.leading()) return;
  FeedReader& reader = static_cast<Feed>(push.feed) == Feed::kOperators ? operators_ : targets_;
  reader.AcceptPush(push.from, push.end, TimePoint(Duration(push.verified_at_us)), push.records);
  if (static_cast<Feed>(push.feed) == Feed::kTargets) target_contacts_.Add(targets_.verified_at());
  recent_changes_[static_cast<Feed>(push.feed)].clear();
}

void Instance::Register() {
  next_registry_read_ = loop_.now() + kRegistryReadInterval;
  const nlohmann::json record = {{"data_centre", settings_.data_centre},
                                 {"incarnation", settings_.incarnation},
                                 {"processor_share", settings_.processor_share}};
  store_.Append(Feed::kInstances, settings_.peer_address, record.dump(), std::nullopt,
                [this](const AppendOutcome& outcome) {
                  registered_ = std::holds_alternative<Appended>(outcome);
                  ReadInstances();
                });
}

void Instance::ReadInstances() {
  next_registry_read_ = loop_.now() + kRegistryReadInterval;
  store_.ReadNewest(Feed::kInstances, [this](const ReadOutcome& outcome) {
    const auto* const records = std::get_if<StoreRecords>(&outcome);
    if (records == nullptr) return;
    registry_read_ = true;
    for (const StoreRecord& it : records->records) {
      if (!it.value) continue;
      try {
        const nlohmann::json entry = nlohmann::json::parse(*it.value);
        peers_.AddPeer({it.key, entry.value("data_centre", std::string()),
                        entry.value("processor_share", 0.0F)});
      } catch (const std::exception&) {
        log_.Write(LogLevel::kWarning, "instance_entry_unusable", {{"instance", it.key}});
      }
    }
    peers_.ReportNow();
  });
}

}  // namespace dogwoodport::fleet
