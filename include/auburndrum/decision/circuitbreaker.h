#pragma once

#include "auburndrum/base/time.h"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Options of a CircuitBreaker.
struct CircuitBreakerOptions
{
    std::uint32_t failureThreshold = 3; ///< in a row, that open it
    std::chrono::nanoseconds firstPause = std::chrono::seconds(1);
    std::chrono::nanoseconds maxPause = std::chrono::seconds(30);
    std::chrono::nanoseconds probeTimeout = std::chrono::seconds(10); ///< after it a lost probe may be repeated
};

/// Keeps requests away from a backend server that fails, and probes it with one request at a time. Not thread-safe.
class CircuitBreaker
{
public:
    enum class State : std::uint8_t {
        Closed,
        Open,
        HalfOpen, ///< one probe is under way
    };

    explicit CircuitBreaker(const CircuitBreakerOptions &options = {});

    /// True when a request may be sent now. Does not change the state, so a router may ask it of many candidates.
    bool allowsRequest(Instant now) const;

    /// Counts a request as sent; the first one after a pause becomes the probe.
    void onSent(Instant now);

    void recordSuccess();

    /// Counts a failure of the server itself, not a refusal that it meant. @p random spreads the probes of many entries.
    void recordFailure(Instant now, absl::BitGenRef random);

    State state() const;

private:
    CircuitBreakerOptions m_options;
    State m_state = State::Closed;
    std::uint32_t m_consecutiveFailures = 0;
    std::chrono::nanoseconds m_pause;
    Instant m_nextProbeAt{}; ///< end of the pause, or of the wait for the probe
};

} // namespace auburndrum::decision
