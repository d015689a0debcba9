#pragma once

#include "auburndrum/base/time.h"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <cstdint>

namespace auburndrum::decision {

/// Options of a CircuitBreaker.
struct CircuitBreakerOptions
{
    std::uint32_t failureThreshold = 3; ///< consecutive failures that open the breaker
    std::chrono::nanoseconds firstPause = std::chrono::seconds(1);
    std::chrono::nanoseconds maxPause = std::chrono::seconds(30);
    std::chrono::nanoseconds probeTimeout = std::chrono::seconds(10); ///< a probe without result is repeated after this time
};

/// Stops requests to a failing backend server and probes it with one request at a time. Not thread-safe.
class CircuitBreaker
{
public:
    enum class State : std::uint8_t {
        Closed,
        Open,
        HalfOpen, ///< a probe was sent and has no result yet
    };

    explicit CircuitBreaker(const CircuitBreakerOptions &options = {});

    /// True when a request may be sent now. Does not change the state, so a router can check many candidates.
    bool allowsRequest(Instant now) const;

    /// Records a sent request; the first one after a pause is the probe.
    void onSent(Instant now);

    void recordSuccess();

    /// Records a failure of the server itself, not a deliberate refusal. @p random spreads the probes of many entry VMs.
    void recordFailure(Instant now, absl::BitGenRef random);
    /// Records that no connection could be opened. Trying again costs the server nothing, so the pauses stay short.
    void recordUnreachable(Instant now, absl::BitGenRef random);
    /// Forgets all failures.
    void reset();

    State state() const;

private:
    void open(std::chrono::nanoseconds pause, Instant now, absl::BitGenRef random);

    CircuitBreakerOptions m_options;
    State m_state = State::Closed;
    std::uint32_t m_consecutiveFailures = 0;
    std::chrono::nanoseconds m_pause;
    Instant m_nextProbeAt{}; ///< end of the pause, or of the probe's timeout
};

} // namespace auburndrum::decision
