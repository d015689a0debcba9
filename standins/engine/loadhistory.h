#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <deque>
#include <string>

namespace auburndrum::standins {

/// Load reports by the time they were true at, so that a reader can be given an old one.
class LoadHistory
{
public:
    explicit LoadHistory(std::chrono::milliseconds kept);

    void add(std::string report, Instant now);

    /// Returns the latest report that is at least as old as the lag; the oldest one kept when none is.
    struct Aged
    {
        std::string report;
        std::chrono::milliseconds age{0};
    };
    Aged lagging(std::chrono::milliseconds lag, Instant now) const;

private:
    struct Entry
    {
        Instant at;
        std::string report;
    };

    std::chrono::milliseconds m_kept;
    std::deque<Entry> m_entries;
};

} // namespace auburndrum::standins
