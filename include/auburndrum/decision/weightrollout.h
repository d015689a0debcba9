#pragma once

#include "auburndrum/decision/servertable.h"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Limits of a roll-out of new weights.
struct WeightRolloutOptions
{
    std::uint32_t maxConcurrentLoads = 2; ///< loads at once from one weight store; more would slow each other down
    double minServingShare = 0.75; ///< share of a service's servers that keep serving, and never less than one server
};

/// Desired weight version of a service and the loads in progress.
struct WeightRollout
{
    std::string_view service;
    std::string_view desiredVersion;
    std::vector<ServerId> loadingServers; ///< servers that were ordered to load and have not reported completion
    std::uint32_t otherServiceLoads = 0; ///< loads in progress for other services from the same weight store
};

/// Returns the servers to order to load next: the least busy that serve another version, within the limits.
///
/// Never returns the last serving server of a service, so that a service with a single server is loaded only when
/// that server serves nothing.
std::vector<ServerId> serversToLoad(const ServerTable &servers, const WeightRollout &rollout, const WeightRolloutOptions &options = {});

/// Chooses the weight version for a new request while servers serve several: at random, in proportion to the number of
/// servers, so that a roll-out moves load as it moves servers. Empty when no server reports a version.
std::string chooseServedVersion(const ServerTable &servers, std::string_view service, absl::BitGenRef random);

} // namespace auburndrum::decision
