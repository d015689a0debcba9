#include "standins/platform/weightstore.h"

#include <algorithm>

namespace auburndrum::standins {

namespace {

constexpr double FinishedSeconds = 1e-6;

} // namespace

WeightStore::WeightStore(const WeightStoreOptions &options)
    : m_options(options)
{
}

std::uint64_t WeightStore::start(Instant now)
{
    const std::chrono::duration<double> load = m_options.loadTime;
    if (m_remaining.empty()) {
        m_advancedTo = now;
    }
    // Progress so far counts at the speed that held before this load joined.
    const std::chrono::duration<double> elapsed = now - m_advancedTo;
    for (auto &[number, seconds] : m_remaining) {
        seconds -= elapsed.count() * speed();
    }
    m_advancedTo = now;
    m_remaining[m_nextLoad] = load.count();
    return m_nextLoad++;
}

std::vector<std::uint64_t> WeightStore::advance(Instant now)
{
    std::vector<std::uint64_t> finished;
    while (true) {
        const std::optional<Instant> next = nextFinish();
        if (!next) {
            return finished;
        }
        const Instant until = std::max(m_advancedTo, std::min(*next, now));
        const std::chrono::duration<double> elapsed = until - m_advancedTo;
        const double progress = elapsed.count() * speed();
        m_advancedTo = until;
        for (auto it = m_remaining.begin(); it != m_remaining.end();) {
            it->second -= progress;
            if (it->second > FinishedSeconds) {
                ++it;
                continue;
            }
            finished.push_back(it->first);
            it = m_remaining.erase(it);
        }
        if (*next > now) {
            return finished;
        }
    }
}

std::optional<Instant> WeightStore::nextFinish() const
{
    if (m_remaining.empty()) {
        return std::nullopt;
    }
    const auto least = std::min_element(m_remaining.begin(), m_remaining.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    const std::chrono::duration<double> wait(std::max(0.0, least->second) / speed());
    return m_advancedTo + std::chrono::ceil<std::chrono::microseconds>(wait);
}

double WeightStore::speed() const
{
    if (m_remaining.size() <= m_options.fullSpeedLoads) {
        return 1.0;
    }
    return static_cast<double>(m_options.fullSpeedLoads) / static_cast<double>(m_remaining.size());
}

} // namespace auburndrum::standins
