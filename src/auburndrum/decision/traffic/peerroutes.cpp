#include "auburndrum/decision/traffic/peerroutes.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::decision {

PeerRoutes::PeerRoutes(PeerRoutesOptions options)
    : m_options(std::move(options))
{
}

double PeerRoutes::distanceCost(const std::string &zone) const
{
    if (zone == m_options.zone) {
        return 0;
    }
    const auto here = m_options.regionOfZone.find(m_options.zone);
    const auto there = m_options.regionOfZone.find(zone);
    const bool isNear = here != m_options.regionOfZone.end() && there != m_options.regionOfZone.end() && here->second == there->second;
    return isNear ? m_options.otherZoneCost : m_options.otherRegionCost;
}

bool PeerRoutes::isSilent(std::string_view vm, Instant now) const
{
    const auto it = m_silentUntil.find(vm);
    return it != m_silentUntil.end() && now < it->second;
}

std::optional<EntryVm> PeerRoutes::choose(
    std::string_view service, const std::vector<EntryVm> &vms, const std::vector<std::string> &tried, Instant now, absl::BitGenRef random) const
{
    const auto known = m_services.find(service);
    if (known != m_services.end() && now < known->second.pausedUntil) {
        return std::nullopt;
    }
    const Route unknown;
    const EntryVm *best = nullptr;
    double bestCost = 0;
    for (const EntryVm &it : vms) {
        if (std::find(tried.begin(), tried.end(), it.name) != tried.end() || isSilent(it.name, now)) {
            continue;
        }
        const Route *route = &unknown;
        if (known != m_services.end()) {
            const auto entry = known->second.routes.find(it.name);
            route = entry == known->second.routes.end() ? &unknown : &entry->second;
        }
        if (now < route->avoidedUntil) {
            continue;
        }
        const auto inProgress = m_inProgress.find(it.name);
        double cost = inProgress == m_inProgress.end() ? 0 : inProgress->second;
        cost += distanceCost(it.zone) + absl::Uniform<double>(random, 0, 2); // spreads them over those that are nearly equal
        if (!route->servedAt || now - *route->servedAt > m_options.provenTime) {
            cost += m_options.unprovenCost;
        }
        if (best == nullptr || cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void PeerRoutes::onSent(std::string_view vm)
{
    ++m_inProgress[std::string(vm)];
}

void PeerRoutes::onFinished(std::string_view vm)
{
    const auto it = m_inProgress.find(vm);
    if (it != m_inProgress.end() && --it->second == 0) {
        m_inProgress.erase(it);
    }
}

void PeerRoutes::onServed(std::string_view service, std::string_view vm, Instant now)
{
    const auto silent = m_silentUntil.find(vm);
    if (silent != m_silentUntil.end()) {
        m_silentUntil.erase(silent);
    }
    Service &it = m_services[std::string(service)];
    it.failures = 0;
    it.pausedUntil = {};
    it.routes[std::string(vm)] = {.servedAt = now};
}

void PeerRoutes::onNoPath(std::string_view service, std::string_view vm, Instant now)
{
    Service &it = m_services[std::string(service)];
    Route &route = it.routes[std::string(vm)];
    if (now < route.avoidedUntil) {
        return; // sent before the answer that it is avoided for: it tells nothing further
    }
    route.pause = std::clamp(route.pause * 2, m_options.noPathPause, m_options.maxNoPathPause);
    route.avoidedUntil = now + route.pause;
    route.servedAt.reset();
    if (++it.failures >= m_options.failuresUntilPause) {
        it.failures = 0;
        it.pausedUntil = now + m_options.pause;
    }
}

void PeerRoutes::onUnknownCall(std::string_view vm, Instant now)
{
    m_silentUntil[std::string(vm)] = now + m_options.unknownCallPause;
}

void PeerRoutes::onSilent(std::string_view vm, Instant now)
{
    m_silentUntil[std::string(vm)] = now + m_options.silencePause;
}

} // namespace auburndrum::decision
