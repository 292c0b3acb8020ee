#include "dogwoodport/fleet/state/routing_config.h"

#include <algorithm>
#include <utility>

namespace dogwoodport::fleet {

RoutingConfig::RoutingConfig(std::uint64_t config_version, std::vector<Route> routes,
                             std::vector<Service> services,
                             std::optional<std::vector<Account>> accounts, CallerLimits limits)
    : version_(config_version),
      routes_(std::move(routes)),
      requires_secrets_(accounts.has_value()),
      limits_(limits) {
  if (accounts) accounts_ = std::move(*accounts);
  for (Service& it : services) {
    const std::string name = it.name;
    services_.emplace(name, std::move(it));
  }
  for (std::size_t i = 0; i < routes_.size(); ++i) routes_by_host_[routes_[i].host].push_back(i);
  for (auto& [host, indexes] : routes_by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
    });
  }
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    for (const std::string& secret : accounts_[i].secrets) accounts_by_secret_.emplace(secret, i);
  }
}

const Route* RoutingConfig::FindRoute(std::string_view host, std::string_view path) const {
  const auto it = routes_by_host_.find(std::string(host));
  if (it == routes_by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const std::size_t i : it->second) {
    if (path.compare(0, routes_[i].path_prefix.size(), routes_[i].path_prefix) == 0) {
      return &routes_[i];
    }
  }
  return nullptr;
}

const Service* RoutingConfig::FindService(const std::string& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

const Account* RoutingConfig::FindAccount(const std::string& secret) const {
  const auto it = accounts_by_secret_.find(secret);
  return it == accounts_by_secret_.end() ? nullptr : &accounts_[it->second];
}

}  // namespace dogwoodport::fleet
