#include "auburndrum/decision/traffic/urgency.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::chrono::milliseconds MinRetryDelay{400}; // several times the round trip between regions plus a plain response
constexpr std::chrono::milliseconds MaxRetryDelay{3000}; // callers wait at most a third of their timeout; the longest timeouts are about 10 s and more
constexpr double WaitShare = 0.5;
constexpr std::uint32_t LateBand = 5; // urgencies 0 to 4 are for requests that can be on time, 5 to 9 for the others

} // namespace

std::uint32_t urgencyOf(std::uint32_t priority, std::chrono::microseconds expectedWait, std::chrono::microseconds timeToTarget)
{
    const std::uint32_t rank = std::min(priority, LateBand - 1);
    return expectedWait <= timeToTarget ? rank : LateBand + rank;
}

bool canStartInTime(std::chrono::microseconds expectedWait, std::chrono::microseconds timeLeft)
{
    return expectedWait <= timeLeft;
}

bool isQueueTooLong(std::chrono::microseconds expectedWait, std::chrono::microseconds idlePrefill, std::chrono::microseconds target)
{
    return target.count() > 0 && expectedWait > std::max(target, 2 * idlePrefill);
}

std::chrono::milliseconds retryDelay(std::chrono::microseconds expectedWait, double random)
{
    const auto share = std::chrono::floor<std::chrono::milliseconds>(expectedWait * WaitShare);
    const auto middle = std::clamp(share, MinRetryDelay, MaxRetryDelay);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(middle.count()) * (0.75 + 0.5 * random)));
}

} // namespace auburndrum::decision
