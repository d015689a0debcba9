#include "auburndrum/decision/traffic/serverpath.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::ptrdiff_t MinServersOfPathLoss = 2;
constexpr std::chrono::minutes LossMemory{2}; // by then the entry of a server that has ended is gone

} // namespace

ServerPath::ServerPath(ServerPathOptions options)
    : m_options(options)
    , m_probeInterval(options.probeInterval)
{
}

bool ServerPath::onReached(std::string_view server, Instant now)
{
    m_reachedAt = now;
    if (const auto it = m_lost.find(server); it != m_lost.end()) {
        m_lost.erase(it);
    }
    m_connectedAt = {};
    m_trialUntil = {};
    m_probeInterval = m_options.probeInterval;
    if (const auto since = pathLostSince()) {
        std::erase_if(m_lost, [&](const auto &it) {
            return it.second >= *since;
        });
    }
    m_unreachable.clear();
    return std::exchange(m_isCut, false);
}

bool ServerPath::onUnreachable(std::string_view server, std::size_t listed, Instant now, std::chrono::milliseconds waited)
{
    const Instant triedAt = std::max(now - waited, m_reachedAt); // the path was there when a server last responded
    m_unreachableSince = m_unreachable.empty() ? triedAt : std::min(m_unreachableSince, triedAt);
    m_unreachable.emplace(server);
    if (m_trialUntil != Instant{}) {
        m_trialUntil = {};
        m_probeInterval = std::min(m_probeInterval * 2, m_options.maxProbeInterval);
    }
    if (m_isCut || m_unreachable.size() < std::min(m_options.minServers, std::max<std::size_t>(1, listed))) {
        return false;
    }
    m_isCut = true;
    m_probedAt = now;
    return true;
}

void ServerPath::onLost(std::string_view server, Instant now)
{
    std::erase_if(m_lost, [&](const auto &it) {
        return now - it.second > LossMemory;
    });
    m_lost.insert_or_assign(std::string(server), now);
}

std::optional<Instant> ServerPath::pathLostSince() const
{
    const Instant since = m_unreachableSince - m_options.detectionTime;
    // A server that was lost before may have ended then, so that it tells nothing about the path; nor does the end of a single one.
    const auto n = std::count_if(m_unreachable.begin(), m_unreachable.end(), [&](const std::string &server) {
        const auto it = m_lost.find(server);
        return it == m_lost.end() || it->second >= since;
    });
    return m_isCut && n >= MinServersOfPathLoss ? std::optional(std::max(since, m_probeConnectedAt)) : std::nullopt;
}

bool ServerPath::isPathLoss(Instant lostAt) const
{
    const auto since = pathLostSince();
    return since && lostAt >= *since;
}

bool ServerPath::takeLossCheck(Instant now)
{
    if (m_isCut || now - m_lossCheckedAt < m_options.lossCheckInterval) {
        return false;
    }
    m_lossCheckedAt = now;
    return true;
}

bool ServerPath::takeSuspicion(Instant now)
{
    if (m_isCut || m_unreachable.empty() || now - m_suspectedAt < m_options.suspicionInterval) {
        return false;
    }
    m_suspectedAt = now;
    return true;
}

bool ServerPath::takeProbe(Instant now)
{
    if (!m_isCut || now - m_probedAt < m_probeInterval) {
        return false;
    }
    m_probedAt = now;
    return true;
}

void ServerPath::onProbeConnected(Instant now)
{
    m_probeConnectedAt = now;
    if (m_isCut && m_connectedAt == Instant{}) {
        m_connectedAt = now;
    }
}

bool ServerPath::takeTrial(bool isRepeatable, Instant now)
{
    const bool isDue = m_isCut && m_connectedAt != Instant{} && now >= m_trialUntil;
    if (!isDue || (!isRepeatable && now - m_connectedAt < m_options.repeatableTrialTime)) {
        return false;
    }
    m_connectedAt = {};
    m_trialUntil = now + m_options.trialTimeout;
    return true;
}

} // namespace auburndrum::decision
