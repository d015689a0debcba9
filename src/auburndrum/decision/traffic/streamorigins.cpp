#include "auburndrum/decision/traffic/streamorigins.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

StreamOrigins::StreamOrigins(StreamOriginsOptions options)
    : m_options(options)
{
}

void StreamOrigins::record(std::string_view attempt, const StreamOrigin &origin, Instant now)
{
    if (attempt.empty()) {
        return;
    }
    removeOld(now);
    const auto it = m_origins.find(attempt);
    if (it != m_origins.end()) {
        it->second.recordedAt = now;
    } else {
        m_origins.emplace(attempt, Entry{origin, now});
    }
    m_byAge.emplace_back(attempt, now);
}

std::optional<StreamOrigin> StreamOrigins::find(std::string_view attempt, Instant now)
{
    removeOld(now);
    const auto it = m_origins.find(attempt);
    return it == m_origins.end() ? std::nullopt : std::optional(it->second.origin);
}

void StreamOrigins::removeOld(Instant now)
{
    while (!m_byAge.empty() && (now - m_byAge.front().second >= m_options.lifetime || m_byAge.size() >= m_options.maxOrigins)) {
        const auto it = m_origins.find(m_byAge.front().first);
        if (it != m_origins.end() && it->second.recordedAt == m_byAge.front().second) {
            m_origins.erase(it);
        }
        m_byAge.pop_front();
    }
}

std::vector<std::string> rankHolders(std::string_view attempt, std::vector<std::string> vms)
{
    const std::uint64_t key = XXH3_64bits(attempt.data(), attempt.size());
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(vms.size());
    for (std::string &it : vms) {
        const std::uint64_t rank = XXH3_64bits_withSeed(it.data(), it.size(), key);
        ranked.emplace_back(rank, std::move(it));
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    vms.clear();
    for (auto &[rank, name] : ranked) {
        vms.push_back(std::move(name));
    }
    return vms;
}

} // namespace auburndrum::decision
