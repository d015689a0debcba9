#include "auburndrum/decision/reuseintervals.h"

#include <algorithm>
#include <cmath>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double MaxRecordedUses = 20'000; // all counts are halved when their sum reaches it
constexpr double PriorCount = 4; // weight of the prior, which assumes that half of all prompts are reused

} // namespace

void ReuseIntervals::recordFirstUse()
{
    m_firstUses += 1;
    decayCounts();
}

void ReuseIntervals::recordReuse(std::chrono::nanoseconds interval)
{
    m_buckets.at(bucket(interval)) += 1;
    m_reuses += 1;
    decayCounts();
}

double ReuseIntervals::reuseProbability(std::chrono::nanoseconds age, std::chrono::nanoseconds horizon, std::uint32_t useCount) const
{
    // Each use is followed by a reuse or by none. The number of first uses is the number of prompts, and the last use of each has no reuse yet.
    const double probabilityOfAnyReuse = (m_reuses + PriorCount / 2) / (m_reuses + m_firstUses + PriorCount);
    // A prompt that was used often belongs to a caller that uses it regularly and is likely to use it again.
    const double probabilityAfterUses = 1 - (1 - probabilityOfAnyReuse) / std::max(useCount, 1U);
    if (m_reuses <= 0) {
        return probabilityAfterUses;
    }
    const double elapsedShare = countUpTo(age) / m_reuses;
    const double shareWithinHorizon = countUpTo(age + horizon) / m_reuses;
    const double probabilityNotReusedYet = probabilityAfterUses * (1 - elapsedShare) + (1 - probabilityAfterUses);
    return probabilityNotReusedYet > 0 ? probabilityAfterUses * (shareWithinHorizon - elapsedShare) / probabilityNotReusedYet : 0;
}

std::size_t ReuseIntervals::bucket(std::chrono::nanoseconds interval)
{
    const double seconds = std::max(Seconds(interval).count(), 1.0);
    return std::min(static_cast<std::size_t>(std::log2(seconds)), BucketCount - 1);
}

double ReuseIntervals::countUpTo(std::chrono::nanoseconds interval) const
{
    const double seconds = Seconds(interval).count();
    if (seconds < 1) {
        return 0;
    }
    const std::size_t last = bucket(interval);
    double count = 0;
    for (std::size_t n = 0; n < last; ++n) {
        count += m_buckets.at(n);
    }
    const double inside = std::log2(seconds) - static_cast<double>(last);
    return count + m_buckets.at(last) * std::min(inside, 1.0);
}

void ReuseIntervals::decayCounts()
{
    if (m_reuses + m_firstUses < MaxRecordedUses) {
        return;
    }
    for (double &it : m_buckets) {
        it /= 2;
    }
    m_reuses /= 2;
    m_firstUses /= 2;
}

} // namespace auburndrum::decision
