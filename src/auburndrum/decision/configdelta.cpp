#include "auburndrum/decision/configdelta.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

std::uint64_t readerWeight(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

bool isConfigReader(const MemberRecord &self, const std::vector<MemberRecord> &usable, std::size_t perZone)
{
    const std::uint64_t own = readerWeight(self.name);
    std::size_t ahead = 0;
    for (const MemberRecord &it : usable) {
        if (it.zone != self.zone || it.name == self.name) {
            continue;
        }
        if (readerWeight(it.name) > own) {
            ++ahead;
        }
    }
    return ahead < perZone;
}

std::optional<std::string> ConfigCatchUp::peerOffset(const std::string &peer, std::uint64_t offset)
{
    if (offset <= m_ownOffset || offset < m_aheadOffset) {
        return std::nullopt;
    }
    m_aheadOffset = offset;
    m_aheadPeer = peer;
    if (m_fetching) {
        return std::nullopt;
    }
    m_fetching = true;
    return peer;
}

std::optional<std::string> ConfigCatchUp::fetchEnded(bool succeeded)
{
    m_fetching = false;
    if (!succeeded || m_aheadOffset <= m_ownOffset) {
        // After a failure the next message of any peer starts over.
        m_aheadOffset = 0;
        return std::nullopt;
    }
    m_fetching = true;
    return m_aheadPeer;
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

bool ConfigCatchUp::mayAdopt(std::uint64_t offset) const
{
    return offset > m_ownOffset;
}

} // namespace auburndrum::decision
