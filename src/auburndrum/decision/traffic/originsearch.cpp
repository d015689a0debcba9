#include "auburndrum/decision/traffic/originsearch.h"

#include <algorithm>

namespace auburndrum::decision {

OriginSearch::OriginSearch(std::vector<std::string> ranked, Instant now, OriginSearchOptions options)
    : m_options(options)
    , m_begunAt(now)
{
    for (std::string &it : ranked) {
        if (m_vms.size() == m_options.mostAsked) {
            break;
        }
        m_vms.push_back({std::move(it), std::nullopt, false});
    }
}

void OriginSearch::onAnswer(std::string_view vm, const std::optional<StreamOrigin> &origin)
{
    for (Vm &it : m_vms) {
        if (it.name == vm) {
            it.hasAnswered = true;
        }
    }
    if (origin && !m_origin) {
        m_origin = origin;
    }
}

std::size_t OriginSearch::answered() const
{
    return static_cast<std::size_t>(std::count_if(m_vms.begin(), m_vms.end(), [](const Vm &it) {
        return it.hasAnswered;
    }));
}

std::vector<std::string> OriginSearch::vmsToAsk(Instant now)
{
    const bool isWide = now - m_begunAt >= m_options.widenAfter || (m_asked > 0 && answered() >= m_asked);
    m_asked = std::min(m_vms.size(), isWide ? m_options.mostAsked : std::max(m_asked, m_options.firstAsked));
    std::vector<std::string> names;
    for (std::size_t n = 0; n < m_asked; ++n) {
        Vm &it = m_vms[n];
        if (it.hasAnswered || (it.askedAt && now - *it.askedAt < m_options.repeatInterval)) {
            continue;
        }
        it.askedAt = now;
        names.push_back(it.name);
    }
    return names;
}

bool OriginSearch::isOpen() const
{
    return !m_origin && answered() < m_vms.size();
}

bool OriginSearch::isDone(Instant now) const
{
    return m_origin || answered() == m_vms.size() || now - m_begunAt >= m_options.timeout;
}

Instant OriginSearch::nextStep(Instant now) const
{
    Instant next = m_begunAt + m_options.timeout;
    if (now < m_begunAt + m_options.widenAfter) {
        next = std::min(next, m_begunAt + m_options.widenAfter);
    }
    for (std::size_t n = 0; n < m_asked; ++n) {
        const Vm &it = m_vms[n];
        if (!it.hasAnswered && it.askedAt) {
            next = std::min(next, *it.askedAt + m_options.repeatInterval);
        }
    }
    return std::max(next, now);
}

} // namespace auburndrum::decision
