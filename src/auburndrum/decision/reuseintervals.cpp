#include "auburndrum/decision/reuseintervals.h"

#include <algorithm>
#include <cmath>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double MaxCounted = 20'000; // counts are halved beyond this many
constexpr double PriorCount = 4; // weight of the first guess that half of all prompts return

} // namespace

void ReuseIntervals::recordFirstUse()
{
    m_firstUses += 1;
    decayCounts();
}

void ReuseIntervals::recordReuse(std::chrono::nanoseconds gap)
{
    m_buckets.at(bucket(gap)) += 1;
    m_reuses += 1;
    decayCounts();
}

double ReuseIntervals::reuseProbability(std::chrono::nanoseconds age, std::chrono::nanoseconds horizon, std::uint32_t visits) const
{
    // Each visit is followed by a return or by none; firsts count the prompts, of which the last visit of each has none yet.
    const double ever = (m_reuses + PriorCount / 2) / (m_reuses + m_firstUses + PriorCount);
    // A prompt that returned n times shows a caller that keeps to it.
    const double again = 1 - (1 - ever) / std::max(visits, 1U);
    if (m_reuses <= 0) {
        return again;
    }
    const double gone = countUpTo(age) / m_reuses;
    const double soon = countUpTo(age + horizon) / m_reuses;
    const double stillAway = again * (1 - gone) + (1 - again);
    return stillAway > 0 ? again * (soon - gone) / stillAway : 0;
}

std::size_t ReuseIntervals::bucket(std::chrono::nanoseconds gap)
{
    const double seconds = std::max(Seconds(gap).count(), 1.0);
    return std::min(static_cast<std::size_t>(std::log2(seconds)), BucketCount - 1);
}

double ReuseIntervals::countUpTo(std::chrono::nanoseconds gap) const
{
    const double seconds = Seconds(gap).count();
    if (seconds < 1) {
        return 0;
    }
    const std::size_t last = bucket(gap);
    double count = 0;
    for (std::size_t n = 0; n < last; ++n) {
        count += m_buckets.at(n);
    }
    const double inside = std::log2(seconds) - static_cast<double>(last);
    return count + m_buckets.at(last) * std::min(inside, 1.0);
}

void ReuseIntervals::decayCounts()
{
    if (m_reuses + m_firstUses < MaxCounted) {
        return;
    }
    for (double &it : m_buckets) {
        it /= 2;
    }
    m_reuses /= 2;
    m_firstUses /= 2;
}

} // namespace auburndrum::decision
