#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Options of a ConcurrencyLimit.
struct ConcurrencyLimitOptions
{
    double initial = 16;
    double min = 1;
    double max = 256;
    double tolerance = 2; ///< waits up to this many times the predicted one count as healthy
    std::chrono::nanoseconds slack = std::chrono::milliseconds(500); ///< lateness that is never held against a server
    double backoff = 0.9; ///< factor on a late or refused request
    std::chrono::nanoseconds minDecreaseGap = std::chrono::milliseconds(500); ///< one burst of bad answers counts once
};

/// Requests at once to one backend server, learned from how its answers compare with their predictions. Not thread-safe.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options = {});

    bool mayStart() const;
    void started();

    /// Counts an ended request; grows the limit when it was used up and the answer came in time.
    void finished(std::chrono::nanoseconds firstToken, std::chrono::nanoseconds predicted, Instant now);

    /// Counts a request that the server refused as overloaded, or that timed out.
    void dropped(Instant now);

    /// Counts a request that says nothing about load, as when its caller went.
    void ignored();

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
