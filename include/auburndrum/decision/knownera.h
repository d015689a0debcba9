#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <optional>

namespace auburndrum::decision {

/// The newest era of a store that any of its responses to this process named, and since when the process knows it. The store came back from a copy before that.
class KnownEra
{
public:
    void onResponse(Instant now, std::uint64_t era)
    {
        if (era > m_era) {
            m_era = era;
            m_since = now;
        }
    }

    /// Since when the store is known to be in this era; empty unless it is the newest one known.
    std::optional<Instant> since(std::uint64_t era) const
    {
        return era != 0 && era == m_era ? std::optional(m_since) : std::nullopt;
    }

private:
    std::uint64_t m_era = 0; ///< 0 when unknown
    Instant m_since{};
};

} // namespace auburndrum::decision
