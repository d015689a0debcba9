#include "auburndrum/decision/traffic/configuration.h"

#include <algorithm>

namespace auburndrum::decision {

void Configuration::indexRoutes()
{
    m_routesByHost.clear();
    for (std::size_t n = 0; n < routes.size(); ++n) {
        m_routesByHost[routes[n].host].push_back(n);
    }
    for (auto &[host, list] : m_routesByHost) {
        std::stable_sort(list.begin(), list.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    }
}

const Route *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto list = m_routesByHost.find(host);
    if (list == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t n : list->second) {
        if (path.starts_with(routes[n].pathPrefix)) {
            return &routes[n];
        }
    }
    return nullptr;
}

const Organisation *Configuration::findOrganisation(std::string_view key) const
{
    const auto it = organisationByKey.find(key);
    return it == organisationByKey.end() ? nullptr : &organisations[it->second];
}

} // namespace auburndrum::decision
