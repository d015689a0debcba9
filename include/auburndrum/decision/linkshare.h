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

/// One entry VM's demand on a link.
struct LinkUser
{
    std::string entryVm;
    std::uint64_t demandBytesPerSecond = 0;
};

/// Splits a link's capacity by max-min fairness: each entry VM gets its demand up to an equal share, and what is left is split equally among those with
/// a higher demand.
///
/// The sum never exceeds the capacity. Every entry VM computes the same split from the same demands.
std::map<std::string, std::uint64_t> splitLinkCapacity(std::uint64_t capacityBytesPerSecond, const std::vector<LinkUser> &users);

struct LinkShareOptions
{
    std::uint64_t capacityBytesPerSecond = 0; ///< capacity of the link for all entry VMs of the region together
    std::chrono::milliseconds settleTime{5000}; ///< time until every entry VM of the region has received a changed demand
    /// Raises a share without waiting for the settle time; for tests.
    bool raiseAtOnce = false;
};

/// This entry VM's share of one link from its region.
///
/// A share falls at once and rises only after the settle time, so that the entry VMs whose shares shrink have received the change before. A dead member
/// keeps its share while the platform still lists it, since it may be running behind a network partition. Not thread-safe.
class LinkShare
{
public:
    explicit LinkShare(LinkShareOptions options);

    /// Records a peer's demand.
    void setPeerDemand(const std::string &entryVm, std::uint64_t bytesPerSecond);
    /// Sets this entry VM's demand. Returns the value to announce, or nothing if it changed by less than an eighth of the old one,
    /// which then stays in force.
    std::optional<std::uint64_t> setOwnDemand(std::uint64_t bytesPerSecond);
    /// Recomputes the share from the current members of the region. Has to be called more often than the settle time: a longer gap counts as a pause of
    /// this process, after which the share starts again from 0.
    void update(const Membership &membership, Instant now);

    std::uint64_t bytesPerSecond() const;

private:
    std::vector<LinkUser> linkUsers(const Membership &membership) const;
    std::uint64_t demandOf(const std::string &entryVm) const;

    LinkShareOptions m_options;
    std::map<std::string, std::uint64_t> m_peerDemands;
    std::uint64_t m_ownDemand = 0;
    std::uint64_t m_share = 0;
    std::uint64_t m_pendingShare = 0;
    std::optional<Instant> m_pendingSince;
    std::optional<Instant> m_lastUpdate;
};

} // namespace auburndrum::decision
