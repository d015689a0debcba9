#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace auburndrum::decision {

/// One of the attempts of a request that are open at the same time.
struct OpenAttempt
{
    std::optional<Instant> answeredAt; ///< when its answer began; empty while nothing shows that its server runs the request
    Instant lastBytesAt{}; ///< when a part of its answer last arrived
};

/// Which attempts of a request end, by their places in the list of open ones.
struct OverlapDecision
{
    std::vector<std::size_t> ending;
    std::optional<Instant> checkAt; ///< when the next one may have to end; empty when none will
};

/// Decides which open attempts end so that no two servers run the request for longer than `maxOverlap`, counted from when the later one's answer began. The
/// attempt whose bytes arrived last goes on. One that has no answer yet stays open: its server may not have begun.
OverlapDecision limitOverlap(const std::vector<OpenAttempt> &attempts, std::chrono::milliseconds maxOverlap, Instant now);

} // namespace auburndrum::decision
