#pragma once

#include "auburndrum/decision/logrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Number of entry VMs that batch the claims of all entry VMs of their region.
constexpr std::size_t ClaimOwnersPerRegion = 3;

/// Selects the claim owners among the live entry VMs of one region: those that append batches of claims. The order of the input does not matter.
std::vector<std::string> selectClaimOwners(const std::vector<std::string> &liveEntries, std::size_t n = ClaimOwnersPerRegion);

/// The owner that batches the claims of this key, by rendezvous hash; empty without owners. Processes may choose different owners while the
/// membership changes; this is safe because the log decides between claims.
std::string claimOwnerOf(const ClaimKey &key, const std::vector<std::string> &owners);

} // namespace auburndrum::decision
