#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace auburndrum::decision {

/// @brief The weights that the operator named for one model, and since when each is known here.
class NamedWeights
{
public:
    /// Takes a named version. `wasThere`: it was named before this process started, nobody knows how long.
    /// False when it is not newer than what is known.
    bool addVersion(std::uint64_t version, Instant now, bool wasThere);

    /// The newest version; 0 before the first.
    std::uint64_t newestVersion() const;
    /// Since when `version` is known to be replaced; nothing while it is the newest. Each newer version counts from its own naming,
    /// so a second one doesn't renew the time of the first.
    std::optional<Instant> replacedSince(std::uint64_t version) const;
    /// Whether `version` was replaced before this process started.
    bool wasReplacedBeforeStart(std::uint64_t version) const;

private:
    struct NamedVersion
    {
        Instant receivedAt;
        bool wasNamedBeforeStart = false;
    };

    std::map<std::uint64_t, NamedVersion> m_versions;
};

} // namespace auburndrum::decision
