#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace auburndrum::decision {

/// @brief The weight versions that the operator named for one model, and the earliest time at which each may have been named.
///
/// Times are on a clock that also counts while the VM is suspended.
class NamedWeights
{
public:
    /// Adds a version that was named at `earliest` or later. `wasNamedBeforeStart`: it was named at an unknown time before this process started,
    /// and `earliest` is an assumption. Returns false when it is not newer than the newest known version.
    bool addVersion(std::uint64_t version, Instant earliest, bool wasNamedBeforeStart);

    /// The newest version; 0 before the first.
    std::uint64_t newestVersion() const;
    /// The earliest time at which the next higher version may have been named; nothing while `version` is the newest. Versions after that
    /// one don't reset the time.
    std::optional<Instant> replacedSince(std::uint64_t version) const;
    /// Whether `version` was replaced before this process started.
    bool wasReplacedBeforeStart(std::uint64_t version) const;

private:
    struct NamedVersion
    {
        Instant earliest;
        bool wasNamedBeforeStart = false;
    };

    std::map<std::uint64_t, NamedVersion> m_versions;
};

} // namespace auburndrum::decision
