#include "auburndrum/decision/traffic/responsememory.h"

#include <algorithm>

namespace auburndrum::decision {

ResponseMemory::ResponseMemory(ResponseMemoryOptions options)
    : m_options(options)
{
}

ResponseMemory::Id ResponseMemory::add()
{
    m_held[++m_last] = 0;
    return m_last;
}

std::optional<ResponseMemory::Id> ResponseMemory::setHeld(Id id, std::uint64_t bytes)
{
    const auto it = m_held.find(id);
    if (it == m_held.end()) {
        return std::nullopt;
    }
    m_totalBytes = m_totalBytes - it->second + bytes;
    it->second = bytes;
    if (bytes > m_options.maxResponseBytes) {
        return id;
    }
    if (m_totalBytes <= m_options.maxTotalBytes) {
        return std::nullopt;
    }
    return std::max_element(m_held.begin(),
                            m_held.end(),
                            [](const auto &a, const auto &b) {
                                return a.second < b.second;
                            })
        ->first;
}

void ResponseMemory::remove(Id id)
{
    const auto it = m_held.find(id);
    if (it == m_held.end()) {
        return;
    }
    m_totalBytes -= it->second;
    m_held.erase(it);
}

} // namespace auburndrum::decision
