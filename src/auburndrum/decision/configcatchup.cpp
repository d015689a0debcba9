#include "auburndrum/decision/configcatchup.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

std::uint64_t rendezvousWeight(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

bool isConfigReader(const MemberRecord &self, const std::vector<MemberRecord> &usable, std::size_t perZone)
{
    const std::uint64_t own = rendezvousWeight(self.name);
    std::size_t higherWeights = 0;
    for (const MemberRecord &it : usable) {
        if (it.zone != self.zone || it.name == self.name) {
            continue;
        }
        if (rendezvousWeight(it.name) > own) {
            ++higherWeights;
        }
    }
    return higherWeights < perZone;
}

std::optional<std::string> ConfigCatchUp::onPeerOffset(const std::string &peer, std::uint64_t offset)
{
    if (offset <= m_ownOffset || offset < m_furthestOffset) {
        return std::nullopt;
    }
    m_furthestOffset = offset;
    m_furthestPeer = peer;
    if (m_fetching) {
        return std::nullopt;
    }
    m_fetching = true;
    return peer;
}

std::optional<std::string> ConfigCatchUp::onFetchFinished(bool succeeded)
{
    m_fetching = false;
    if (!succeeded || m_furthestOffset <= m_ownOffset) {
        // After a failed fetch, the next message from any peer that is ahead starts a new one.
        m_furthestOffset = 0;
        return std::nullopt;
    }
    m_fetching = true;
    return m_furthestPeer;
}

void ConfigCatchUp::setOwnOffset(std::uint64_t offset)
{
    m_ownOffset = std::max(m_ownOffset, offset);
}

std::uint64_t ConfigCatchUp::ownOffset() const
{
    return m_ownOffset;
}

bool ConfigCatchUp::isFetching() const
{
    return m_fetching;
}

bool ConfigCatchUp::isNewerThanOwn(std::uint64_t offset) const
{
    return offset > m_ownOffset;
}

} // namespace auburndrum::decision
