#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace auburndrum::standins {

/// Speed of the weight store.
struct WeightStoreOptions
{
    std::chrono::milliseconds loadTime{800}; ///< one load with at most fullSpeedLoads under way
    std::size_t fullSpeedLoads = 2; ///< loads that run at full speed together; more share that speed
};

/// Loads of weights that share one rate limit.
class WeightStore
{
public:
    explicit WeightStore(const WeightStoreOptions &options);

    /// Starts a load and returns its number.
    std::uint64_t start(Instant now);

    /// Moves time on and returns the loads that have finished.
    std::vector<std::uint64_t> advance(Instant now);

    /// When the next load will finish if none is started before.
    std::optional<Instant> nextFinish() const;

private:
    double speed() const;

    WeightStoreOptions m_options;
    std::map<std::uint64_t, double> m_remaining; ///< seconds of full speed still needed, by load
    std::uint64_t m_nextLoad = 1;
    Instant m_advancedTo{};
};

} // namespace auburndrum::standins
