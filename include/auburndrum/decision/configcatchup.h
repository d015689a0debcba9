#pragma once

#include "auburndrum/decision/membershiprecord.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Returns whether @p self is one of the @p perZone entry VMs of its zone that read the platform's log.
///
/// Chosen by rendezvous hash over @p usable. Entry VMs with different views may read one too many or fetch from another zone for a while.
bool isConfigReader(const MemberRecord &self, const std::vector<MemberRecord> &usable, std::size_t perZone);

/// Keeps one fetch of configuration under way at a time, from the peer that is furthest ahead.
class ConfigCatchUp
{
public:
    /// Notes the offset of a peer. Returns the peer to fetch from, when a fetch has to start now.
    std::optional<std::string> onPeerOffset(const std::string &peer, std::uint64_t offset);
    /// Notes the end of the fetch. Returns the next peer to fetch from.
    std::optional<std::string> onFetchFinished(bool succeeded);
    /// Notes the offset that this process's configuration covers; it never falls.
    void setOwnOffset(std::uint64_t offset);

    std::uint64_t ownOffset() const;
    bool isFetching() const;
    /// Returns whether the configuration of a peer may be taken as a whole: only one that covers more.
    bool isNewerThanOwn(std::uint64_t offset) const;

private:
    std::uint64_t m_ownOffset = 0;
    std::uint64_t m_furthestOffset = 0;
    std::string m_furthestPeer;
    bool m_fetching = false;
};

} // namespace auburndrum::decision
