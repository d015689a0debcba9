#pragma once

#include <chrono>

// Times of a planned stop that other parts of a gateway keep to.

namespace auburndrum::gateway {

// The balancer checks readiness once a second and removes an entry VM after two failures; until then it still sends new connections.
constexpr std::chrono::milliseconds BalancerLag{2600};
// A planned stop that keeps connections for BalancerLag keeps each for longer than its caller was told.
constexpr std::chrono::milliseconds MaxAnnouncedIdle{BalancerLag * 4 / 5};

} // namespace auburndrum::gateway
