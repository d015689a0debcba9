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
    double ownZoneShare = 0.6; ///< share of the exchanges with living members that go to the own zone
    double ownRegionShare = 0.25; ///< share that goes to other zones of the own region; the rest goes to other regions
    double deadShare = 0.1; ///< share of exchanges with members considered dead, to detect when a network partition has healed
    std::uint64_t seed = 1;
};

/// Chooses the peers of the next round. Each class of peers is used up in shuffled order, so that no peer is left out.
class GossipPeers
{
public:
    explicit GossipPeers(GossipPeersOptions options);

    /// Returns up to @p count different peers, from different classes where there are any.
    /// @param evenly use the classes of living peers in turn instead of by their shares
    std::vector<std::string> choose(const Membership &membership, std::size_t count, bool evenly);

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
    std::optional<std::string> nextPeer(const Membership &membership, PeerClass peerClass);
    void refill(const Membership &membership, PeerClass peerClass);

    GossipPeersOptions m_options;
    std::mt19937_64 m_random;
    std::array<Queue, ClassCount> m_queues;
    std::size_t m_nextClass = 0;
};

} // namespace auburndrum::decision
