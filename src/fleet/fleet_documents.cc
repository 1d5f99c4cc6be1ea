#include "src/fleet/fleet_documents.h"

#include <algorithm>
#include <cctype>

namespace filbertshift {

namespace {

// Returns the host part of a Host header field in lower case, without the port.
std::string NormalizeHost(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return result;
}

}  // namespace

void FleetConfiguration::BuildIndex() {
  routes_by_host_.clear();
  accounts_by_key_.clear();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    routes_by_host_[NormalizeHost(routes[i].host)].push_back(i);
  }
  for (auto& entry : routes_by_host_) {
    std::stable_sort(entry.second.begin(), entry.second.end(),
                     [this](std::size_t a, std::size_t b) {
                       return routes[a].prefix.size() > routes[b].prefix.size();
                     });
  }
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    for (const std::string& key : accounts[i].api_keys) {
      accounts_by_key_.emplace(key, i);
    }
  }
}

const Route* FleetConfiguration::FindRoute(std::string_view host,
                                           std::string_view target) const {
  auto found = routes_by_host_.find(NormalizeHost(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  std::string_view path = target.substr(0, target.find('?'));
  for (std::size_t position : found->second) {
    const Route& route = routes[position];
    if (path.substr(0, route.prefix.size()) == route.prefix) {
      return &route;
    }
  }
  return nullptr;
}

const AccountSettings* FleetConfiguration::FindAccount(
    const std::string& api_key) const {
  auto found = accounts_by_key_.find(api_key);
  return found == accounts_by_key_.end() ? nullptr : &accounts[found->second];
}

const ServiceSettings* FleetConfiguration::FindService(
    const ServiceId& service) const {
  auto found = services.find(service);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace filbertshift
