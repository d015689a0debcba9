#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace auburndrum::decision {

/// @brief The weight versions that the operator named for one model, and when this process received each.
class NamedWeights
{
public:
    /// Adds a named version. `wasNamedBeforeStart`: it was named at an unknown time before this process started.
    /// Returns false when it is not newer than the newest known version.
    bool addVersion(std::uint64_t version, Instant now, bool wasNamedBeforeStart);

    /// The newest version; 0 before the first.
    std::uint64_t newestVersion() const;
    /// When this process received the next higher version; nothing while `version` is the newest. Versions after that one
    /// don't reset the time.
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
