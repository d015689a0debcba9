#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Statistics of the time between uses of a prompt, and of how many prompts are reused at all. Not thread-safe.
///
/// Counts are kept in buckets of doubling length and decay, so that a change in usage shows within some thousand requests.
class ReuseIntervals
{
public:
    /// Records a prompt that was not used before.
    void recordFirstUse();

    /// Records a prompt that was last used @p interval ago.
    void recordReuse(std::chrono::nanoseconds interval);

    /// Probability that a prompt last used @p age ago is used again within @p horizon from now.
    ///
    /// @p useCount is the number of its uses so far: a prompt that was reused before is more likely to be reused again.
    double reuseProbability(std::chrono::nanoseconds age, std::chrono::nanoseconds horizon, std::uint32_t useCount) const;

private:
    static constexpr std::size_t BucketCount = 24; ///< from 1 s to about 100 days

    static std::size_t bucket(std::chrono::nanoseconds interval);
    double countUpTo(std::chrono::nanoseconds interval) const;
    void decayCounts();

    std::array<double, BucketCount> m_buckets{};
    double m_reuses = 0;
    double m_firstUses = 0;
};

} // namespace auburndrum::decision
