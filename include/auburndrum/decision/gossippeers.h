#pragma once

#include "auburndrum/decision/membership.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburndrum::decision {

struct GossipPeersOptions
{
    double ownZoneShare = 0.6; ///< share of exchanges with the own zone
    double ownRegionShare = 0.25; ///< share with other zones of the own region; the rest crosses regions
    double deadShare = 0.1; ///< share spent on members taken for dead, so that a healed cut is found
    std::uint64_t seed = 1;
};

/// Chooses whom to talk to next: each class of peers in shuffled order, so that nobody is left out.
class GossipPeers
{
public:
    explicit GossipPeers(GossipPeersOptions options);

    /// Returns up to @p count different peers, from different classes where there are any.
    /// @param even all classes of living peers in turn, instead of by their shares
    std::vector<std::string> choose(const Membership &membership, std::size_t count, bool even);

private:
    enum PeerClass : std::uint8_t {
        OwnZone,
        OwnRegion,
        OtherRegion,
        Dead,
        ClassCount,
    };
    struct Queue
    {
        std::vector<std::string> names;
        std::size_t next = 0;
    };

    PeerClass classOf(const Membership &membership, const Member &member) const;
    PeerClass drawClass(const std::array<bool, ClassCount> &present);
    std::optional<std::string> nextPeer(const Membership &membership, PeerClass which);
    void refill(const Membership &membership, PeerClass which);

    GossipPeersOptions m_options;
    std::mt19937_64 m_random;
    std::array<Queue, ClassCount> m_queues;
    std::size_t m_nextClass = 0;
};

} // namespace auburndrum::decision
