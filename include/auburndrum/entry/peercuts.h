#pragma once

#include <set>
#include <string>

namespace auburndrum::entry {

/// Peers that this process treats as unreachable. Used to test network partitions between zones.
struct PeerCuts
{
    std::set<std::string> peers; ///< by name
    bool platform = false;

    bool isCut(const std::string &peer) const
    {
        return peers.contains(peer);
    }
};

} // namespace auburndrum::entry
