#pragma once

#include <chrono>
#include <ctime>

namespace auburndrum {

/// Monotonic time, passed into decision code so that tests can drive it.
using Instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Time since the Unix epoch, for records that other processes read.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Reads this process's monotonic clock.
inline Instant monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// Reads a monotonic clock that also counts while the VM is suspended. For leases, which run out meanwhile.
inline Instant suspendAwareNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Reads this VM's wall clock, in whole milliseconds.
inline WallTime wallNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace auburndrum
