#include "auburndrum/decision/traffic/serverpath.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

ServerPath::ServerPath(ServerPathOptions options)
    : m_options(options)
    , m_probeInterval(options.probeInterval)
{
}

bool ServerPath::onReached()
{
    m_unreachable.clear();
    m_connectedAt = {};
    m_trialUntil = {};
    m_probeInterval = m_options.probeInterval;
    return std::exchange(m_isCut, false);
}

bool ServerPath::onUnreachable(std::string_view server, std::size_t listed, Instant now)
{
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
