#include "auburndrum/decision/traffic/namedweights.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::size_t MaxVersions = 16; // versions that were dropped count as replaced when the oldest remembered one was

} // namespace

bool NamedWeights::addVersion(std::uint64_t version, Instant earliest, bool wasNamedBeforeStart)
{
    if (version <= newestVersion()) {
        return false;
    }
    m_versions[version] = {earliest, wasNamedBeforeStart};
    if (m_versions.size() > MaxVersions) {
        m_versions.erase(m_versions.begin());
    }
    return true;
}

std::uint64_t NamedWeights::newestVersion() const
{
    return m_versions.empty() ? 0 : m_versions.rbegin()->first;
}

std::optional<Instant> NamedWeights::replacedSince(std::uint64_t version) const
{
    const auto it = m_versions.upper_bound(version);
    return it == m_versions.end() ? std::nullopt : std::optional(it->second.earliest);
}

bool NamedWeights::wasReplacedBeforeStart(std::uint64_t version) const
{
    const auto it = m_versions.upper_bound(version);
    return it != m_versions.end() && it->second.wasNamedBeforeStart;
}

} // namespace auburndrum::decision
