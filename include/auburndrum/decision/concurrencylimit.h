#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Options of a ConcurrencyLimit.
struct ConcurrencyLimitOptions
{
    double initialLimit = 16;
    double minLimit = 1;
    double maxLimit = 256;
    double decreaseFactor = 0.9; ///< factor applied to the limit after a late or refused request
    std::chrono::nanoseconds minDecreaseInterval
        = std::chrono::milliseconds(500); ///< least time between decreases, so that a burst of late responses counts once
};

/// Adaptive limit on requests that wait for their first token at once, adjusted by how long they wait. Not thread-safe.
///
/// Use one for each backend server and one for the entire service. It measures from dispatch to first token, which this
/// entry VM observes without delay, and so keeps the engines' queues short where load reports arrive too late to do so.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options = {});

    bool hasCapacity() const;
    void onSent();

    /// Records a first token; raises the limit when at least half of it was in use and the wait was at most @p allowed.
    void onFirstToken(std::chrono::nanoseconds firstToken, std::chrono::nanoseconds allowed, Instant now);

    /// Records a request that the server refused as overloaded, or that timed out.
    void onOverloaded(Instant now);

    /// Ends a request without adjusting the limit, for example because its caller disconnected.
    void release();

    std::uint32_t limit() const;
    std::uint32_t inFlight() const;

private:
    void decrease(Instant now);

    ConcurrencyLimitOptions m_options;
    double m_limit;
    std::uint32_t m_inFlight = 0;
    Instant m_lastDecrease{};
};

} // namespace auburndrum::decision
