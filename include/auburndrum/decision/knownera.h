#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <optional>

namespace auburndrum::decision {

/// The newest era of a store that the responses of the topics named that this process always reads, and since when it knows it. The store came back from a copy
/// before that.
class KnownEra
{
public:
    void onResponse(Instant now, std::uint64_t era)
    {
        if (!m_since || era > m_era) {
            m_era = era;
            m_since = now;
        }
    }

    /// Since when the store is known to be in this era, 0 for a store that names none; empty unless it is the newest one known.
    std::optional<Instant> since(std::uint64_t era) const
    {
        return era == m_era ? m_since : std::nullopt;
    }

private:
    std::uint64_t m_era = 0;
    std::optional<Instant> m_since; ///< empty before the first response
};

} // namespace auburndrum::decision
