#pragma once

#include <set>
#include <string>

namespace auburndrum::entry {

/// Peers that this process pretends it can't reach; a switch for tests of zone cuts.
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
