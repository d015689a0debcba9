#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Learns how long prompts stay away before they return, and how many return at all. Not thread-safe.
///
/// Counts are kept in buckets that double in length, and fade so that new habits show within some thousand requests.
class ReuseIntervals
{
public:
    /// Counts a prompt seen for the first time.
    void recordFirstUse();

    /// Counts a prompt that was last seen @p gap ago.
    void recordReuse(std::chrono::nanoseconds gap);

    /// Chance that a prompt last seen @p age ago returns within @p horizon from now.
    ///
    /// @p visits counts how often it was seen: one that returned before is likelier to return again.
    double reuseProbability(std::chrono::nanoseconds age, std::chrono::nanoseconds horizon, std::uint32_t visits) const;

private:
    static constexpr std::size_t BucketCount = 24; ///< from 1 s to about 100 days

    static std::size_t bucket(std::chrono::nanoseconds gap);
    double countUpTo(std::chrono::nanoseconds gap) const;
    void decayCounts();

    std::array<double, BucketCount> m_buckets{};
    double m_reuses = 0;
    double m_firstUses = 0;
};

} // namespace auburndrum::decision
