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
/// Readers are chosen by rendezvous hash over @p usable. While entry VMs see different members, a zone may have one reader too many, or too few and
/// fetch its configuration from another zone.
bool isConfigReader(const MemberRecord &self, const std::vector<MemberRecord> &usable, std::size_t perZone);

/// Chooses the peer to fetch newer configuration from: one fetch at a time, from the peer with the highest log offset.
class ConfigCatchUp
{
public:
    /// Records the log offset that @p peer's configuration covers. Returns the peer to fetch from if a fetch has to start now.
    std::optional<std::string> onPeerOffset(const std::string &peer, std::uint64_t offset);
    /// Records that the current fetch has finished. Returns the peer to fetch from next, if one is still ahead.
    std::optional<std::string> onFetchFinished(bool succeeded);
    /// Records the log offset that this process's configuration covers. An offset below the current one is ignored.
    void setOwnOffset(std::uint64_t offset);

    std::uint64_t ownOffset() const;
    bool isFetching() const;
    /// Returns whether a configuration that covers @p offset covers more of the log than this process's own and may replace it.
    bool isNewerThanOwn(std::uint64_t offset) const;

private:
    std::uint64_t m_ownOffset = 0;
    std::uint64_t m_furthestOffset = 0;
    std::string m_furthestPeer;
    bool m_fetching = false;
};

} // namespace auburndrum::decision
