#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <deque>

namespace auburndrum::gateway {

/// The longest lag of an event loop within the last half minute.
class RecentLag
{
public:
    void add(std::chrono::milliseconds lag, Instant now);
    /// Zero when there was none.
    std::chrono::milliseconds longest(Instant now) const;

private:
    struct Sample
    {
        Instant at;
        std::chrono::milliseconds lag;
    };

    std::deque<Sample> m_samples; ///< oldest first, each shorter than the one before
};

} // namespace auburndrum::gateway
