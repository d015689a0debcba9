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
    double decreaseFactor = 0.9; ///< factor on a late or refused request
    std::chrono::nanoseconds minDecreaseInterval = std::chrono::milliseconds(500); ///< one burst of bad answers counts once
};

/// Requests at once that wait for their first token, learned from how long they wait. Not thread-safe.
///
/// Use one for each backend server and one for the whole service. It counts from dispatch to first token, which this
/// entry sees without lag: that keeps engines' queues short where load reports come too late to.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options = {});

    bool hasCapacity() const;
    void onSent();

    /// Counts a first token; grows the limit when it was used up and the wait was at most @p allowed.
    void onFirstToken(std::chrono::nanoseconds firstToken, std::chrono::nanoseconds allowed, Instant now);

    /// Counts a request that the server refused as overloaded, or that timed out.
    void onOverloaded(Instant now);

    /// Counts a request that says nothing about load, as when its caller went.
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
