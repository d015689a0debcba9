#pragma once

#include "auburndrum/decision/servertable.h"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Limits of a roll-out of weights.
struct WeightRolloutOptions
{
    std::uint32_t maxConcurrentLoads = 2; ///< at once from one weight store; more slow each other down
    double minServingShare = 0.75; ///< share of a service's workers that stays serving, and never less than one
};

/// Workers of one service that should load other weights, and that load some now.
struct WeightRollout
{
    std::string_view service;
    std::string_view desiredVersion;
    std::vector<ServerId> loadingServers; ///< ordered to load and not yet reported as done
    std::uint32_t otherServiceLoads = 0; ///< loads of other services from the same weight store
};

/// Returns the workers to order next: the least busy that serve another version, within the limits.
///
/// Never takes the last serving worker of a service, so a service with a single worker is loaded only when
/// that worker serves nothing.
std::vector<ServerId> serversToLoad(const ServerTable &servers, const WeightRollout &rollout, const WeightRolloutOptions &options = {});

/// Picks the version that a new request should ask for while workers serve several: in proportion to their number, so
/// that a roll-out moves load as it moves workers. Empty when no worker reports a version.
std::string chooseServedVersion(const ServerTable &servers, std::string_view service, absl::BitGenRef random);

} // namespace auburndrum::decision
