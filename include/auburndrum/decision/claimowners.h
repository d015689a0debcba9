#pragma once

#include "auburndrum/decision/logrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Entry VMs of a region that batch claims for the others.
constexpr std::size_t ClaimOwnersPerRegion = 3;

/// The entry VMs, of one region's live ones, that append batches. Order of the input does not matter.
std::vector<std::string> selectClaimOwners(const std::vector<std::string> &liveEntries, std::size_t n = ClaimOwnersPerRegion);

/// The owner that batches this key's claims; empty without owners. Processes may disagree while membership moves: the log decides.
std::string claimOwnerOf(const ClaimKey &key, const std::vector<std::string> &owners);

} // namespace auburndrum::decision
