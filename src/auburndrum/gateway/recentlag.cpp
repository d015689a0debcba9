#include "auburndrum/gateway/recentlag.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

constexpr std::chrono::seconds MemoryTime{30}; // several times the grace of a planned stop

} // namespace

void RecentLag::add(std::chrono::milliseconds lag, Instant now)
{
    std::erase_if(m_samples, [&](const Sample &it) {
        return it.lag <= lag || now - it.at > MemoryTime;
    });
    m_samples.push_back({now, lag});
}

std::chrono::milliseconds RecentLag::longest(Instant now) const
{
    for (const Sample &it : m_samples) {
        if (now - it.at <= MemoryTime) {
            return it.lag;
        }
    }
    return {};
}

} // namespace auburndrum::gateway
