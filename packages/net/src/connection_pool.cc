#include "dogwoodport/net/connection_pool.h"

#include <algorithm>

namespace dogwoodport::net {
namespace {

/// Percentage of the idle timeout announced by the peer after which its connection is not reused.
constexpr int kPeerLimitPercent = 80;

void CloseAll(const std::vector<ClientConnectionPtr>& connections) {
  for (const ClientConnectionPtr& it : connections) it->Abort();
}

}  // namespace

ConnectionPool::~ConnectionPool() {
  // Closing a connection may erase its bucket, so iterate over the moved map.
  const auto buckets = std::move(buckets_);
  buckets_.clear();
  for (const auto& [address, bucket] : buckets) CloseAll(bucket.idle);
}

bool ConnectionPool::IsReusable(const ClientConnection& connection) const {
  Duration limit = limits_.idle_timeout;
  if (connection.peer_idle_limit() > Duration{0}) {
    limit = std::min(limit, connection.peer_idle_limit() * kPeerLimitPercent / 100);
  }
  return connection.open() && loop_.now() - connection.idle_since() < limit;
}

ClientConnectionPtr ConnectionPool::TakeIdle(const std::string& address, std::string_view call_id) {
  // `Abort` may erase the bucket, so it is looked up in each iteration.
  for (auto bucket = buckets_.find(address); bucket != buckets_.end();
       bucket = buckets_.find(address)) {
    auto& idle = bucket->second.idle;
    const auto it = std::find_if(idle.rbegin(), idle.rend(), [call_id](const auto& connection) {
      return !connection->MayRepeatResponseTo(call_id);
    });
    if (it == idle.rend()) return nullptr;
    ClientConnectionPtr connection = *it;
    idle.erase(std::next(it).base());
    if (IsReusable(*connection)) return connection;
    connection->Abort();
  }
  return nullptr;
}

ClientConnectionPtr ConnectionPool::Acquire(const std::string& address, std::string_view call_id,
                                            std::size_t max_count) {
  if (ClientConnectionPtr connection = TakeIdle(address, call_id)) return connection;
  const auto bucket = buckets_.find(address);
  if (bucket != buckets_.end() && bucket->second.count >= max_count &&
      !bucket->second.idle.empty()) {
    const ClientConnectionPtr oldest = bucket->second.idle.front();
    oldest->Abort();
  }
  return AcquireNew(address);
}

ClientConnectionPtr ConnectionPool::AcquireNew(const std::string& address) {
  ++buckets_[address].count;
  ++opened_;
  ConnectionEvents events;
  events.on_idle = [this](ClientConnection* it) { OnIdle(it); };
  events.on_closed = [this](ClientConnection* it) { OnClosed(it); };
  events.on_unsolicited = [this](ClientConnection* it) { OnUnsolicited(*it); };
  ClientConnectionPtr connection(
      new ClientConnection(loop_, address, opened_, limits_.message, std::move(events)));
  connection->Open();
  return connection;
}

std::size_t ConnectionPool::Count(const std::string& address) const {
  const auto it = buckets_.find(address);
  return it == buckets_.end() ? 0 : it->second.count;
}

std::size_t ConnectionPool::IdleCount(const std::string& address) const {
  const auto it = buckets_.find(address);
  return it == buckets_.end() ? 0 : it->second.idle.size();
}

void ConnectionPool::OnIdle(ClientConnection* connection) {
  buckets_[connection->address()].idle.emplace_back(connection);
}

void ConnectionPool::OnClosed(ClientConnection* connection) {
  const auto it = buckets_.find(connection->address());
  if (it == buckets_.end()) return;
  auto& idle = it->second.idle;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [&](const auto& other) { return other.get() == connection; }),
             idle.end());
  if (--it->second.count == 0) buckets_.erase(it);
}

void ConnectionPool::OnUnsolicited(const ClientConnection& connection) {
  ++unsolicited_;
  if (on_unsolicited) on_unsolicited(connection);
}

void ConnectionPool::CloseStale() {
  std::vector<ClientConnectionPtr> stale;
  for (auto& [address, bucket] : buckets_) {
    auto& idle = bucket.idle;
    const auto first_stale = std::stable_partition(
        idle.begin(), idle.end(), [this](const auto& it) { return IsReusable(*it); });
    stale.insert(stale.end(), first_stale, idle.end());
    idle.erase(first_stale, idle.end());
  }
  CloseAll(stale);
}

}  // namespace dogwoodport::net
