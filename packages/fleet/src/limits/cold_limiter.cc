#include "dogwoodport/fleet/limits/cold_limiter.h"

namespace dogwoodport::fleet {

namespace {

std::uint64_t RankOf(const std::string& target_id, const std::string& instance) {
  std::string name = target_id;
  name.append("|").append(instance);
  return TargetId::FromName(name).value;
}

}  // namespace

double ColdShare(const std::string& target_id, const std::string& self,
                 const std::vector<std::string>& instances, std::size_t max_senders) {
  const std::uint64_t own = RankOf(target_id, self);
  std::size_t ahead = 0;
  for (const std::string& other : instances) {
    if (RankOf(target_id, other) > own) ++ahead;
  }
  const std::size_t senders = std::min(max_senders, instances.size() + 1);
  return ahead < senders ? 1.0 / static_cast<double>(senders) : 0.0;
}

void ColdLimiter::Configure(const std::string& target_id, double rate, TimePoint now) {
  TokenBucket& bucket = buckets_[target_id];
  bucket.Update(now);
  bucket.Configure(rate, 1.0);
}

bool ColdLimiter::Available(const std::string& target_id, TimePoint now) {
  const auto it = buckets_.find(target_id);
  if (it == buckets_.end()) return false;
  it->second.Update(now);
  return it->second.tokens() >= 1;
}

void ColdLimiter::Take(const std::string& target_id, TimePoint now) {
  const auto it = buckets_.find(target_id);
  if (it != buckets_.end()) it->second.Take(now);
}

}  // namespace dogwoodport::fleet
