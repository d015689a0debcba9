#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/membership.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// What one entry VM wants of a link.
struct LinkUser
{
    std::string entryVm;
    std::uint64_t demandBytesPerSecond = 0;
};

/// Splits @p capacity: everyone gets what it wants up to an equal share, what is left goes in equal parts to those that want more.
///
/// The sum never exceeds the capacity. Every entry VM computes the same split from the same facts.
std::map<std::string, std::uint64_t> splitLinkCapacity(std::uint64_t capacityBytesPerSecond, const std::vector<LinkUser> &claimants);

struct LinkShareOptions
{
    std::uint64_t capacityBytesPerSecond = 0; ///< of the link, for all entry VMs of the region together
    std::chrono::milliseconds settleTime{5000}; ///< until every entry VM of the region has heard of a change
    /// Lets a share rise at once; for tests.
    bool raiseAtOnce = false;
};

/// This entry VM's share of one link from its region.
///
/// A share falls at once and rises only after the settle time, so that those that have to give bytes back have heard of it. A dead member keeps its
/// share while the platform still lists it: across a cut it may be running. Not thread-safe.
class LinkShare
{
public:
    explicit LinkShare(LinkShareOptions options);

    /// Notes a peer's demand.
    void setPeerDemand(const std::string &entry, std::uint64_t bytesPerSecond);
    /// Notes own demand. Returns the value to announce when it changed by enough to matter.
    std::optional<std::uint64_t> setOwnDemand(std::uint64_t bytesPerSecond);
    /// Works out the share from the members of the region as they are now.
    void update(const Membership &membership, Instant now);

    std::uint64_t bytesPerSecond() const;

private:
    std::vector<LinkUser> linkUsers(const Membership &membership) const;
    std::uint64_t demandOf(const std::string &entry) const;

    LinkShareOptions m_options;
    std::map<std::string, std::uint64_t> m_peerDemands;
    std::uint64_t m_ownDemand = 0;
    std::uint64_t m_share = 0;
    std::uint64_t m_pendingShare = 0;
    std::optional<Instant> m_pendingSince;
    std::optional<Instant> m_lastUpdate;
};

} // namespace auburndrum::decision
