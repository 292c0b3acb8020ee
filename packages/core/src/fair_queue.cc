#include "dogwoodport/core/fair_queue.h"

#include <algorithm>

namespace dogwoodport {
namespace {

constexpr double kMinWeight = 0.01;
constexpr double kRequestCost = 1;

}  // namespace

FairQueue::Flow& FairQueue::FlowOf(AccountId account) {
  std::unique_ptr<Flow>& flow = flows_[account];
  if (!flow) {
    flow = std::make_unique<Flow>();
    flow->account = account;
  }
  return *flow;
}

void FairQueue::SetWeight(AccountId account, double weight) {
  FlowOf(account).weight = std::max(kMinWeight, weight);
}

FairQueue::Flow& FairQueue::LongestFlow() {
  return *std::max_element(active_.begin(), active_.end(), [](const Flow& a, const Flow& b) {
    return static_cast<double>(a.count) / a.weight < static_cast<double>(b.count) / b.weight;
  });
}

void FairQueue::Enqueue(TimePoint now, AccountId account, std::uint64_t request,
                        TimePoint deadline) {
  Flow& flow = FlowOf(account);
  if (flow.count >= settings_.max_per_account) {
    dropped_.push_back({request, QueueRefusal::kAccountFull, settings_.retry_after});
    return;
  }
  auto entry = std::make_unique<Entry>();
  entry->request = request;
  entry->account = account;
  entry->until = std::min(deadline, now + settings_.max_wait);
  const auto [it, added] = requests_.emplace(request, std::move(entry));
  if (!added) return;
  flow.entries.push_back(*it->second);
  if (flow.count++ == 0) active_.push_back(flow);
  if (requests_.size() > settings_.max_total) {
    Flow& longest = LongestFlow();
    Drop(longest, longest.entries.back(), QueueRefusal::kTotalFull);
  }
}

void FairQueue::Remove(Flow& flow, Entry& entry) {
  flow.entries.erase(flow.entries.iterator_to(entry));
  if (--flow.count == 0) {
    active_.erase(active_.iterator_to(flow));
    flow.deficit = 0;
  }
  requests_.erase(entry.request);
}

void FairQueue::Drop(Flow& flow, Entry& entry, QueueRefusal reason) {
  dropped_.push_back({entry.request, reason, settings_.retry_after});
  Remove(flow, entry);
}

std::optional<std::uint64_t> FairQueue::Dequeue(TimePoint now) {
  while (!active_.empty()) {
    Flow& flow = active_.front();
    Entry& entry = flow.entries.front();
    if (entry.until <= now) {
      Drop(flow, entry, QueueRefusal::kDeadline);
      continue;
    }
    if (flow.deficit >= kRequestCost) {
      flow.deficit -= kRequestCost;
      const std::uint64_t request = entry.request;
      Remove(flow, entry);
      if (flow.count > 0 && flow.deficit < kRequestCost) {
        active_.splice(active_.end(), active_, active_.iterator_to(flow));
      }
      return request;
    }
    flow.deficit += flow.weight;
    if (flow.deficit < kRequestCost) active_.splice(active_.end(), active_, active_.begin());
  }
  return std::nullopt;
}

bool FairQueue::Cancel(std::uint64_t request) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return false;
  Remove(FlowOf(it->second->account), *it->second);
  return true;
}

void FairQueue::Tick(TimePoint now) {
  std::vector<Entry*> expired;
  for (const auto& [request, entry] : requests_) {
    if (entry->until <= now) expired.push_back(entry.get());
  }
  for (Entry* entry : expired) Drop(FlowOf(entry->account), *entry, QueueRefusal::kDeadline);
}

}  // namespace dogwoodport
