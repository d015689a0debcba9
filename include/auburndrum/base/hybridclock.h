#pragma once

#include "auburndrum/base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum {

/// A hybrid logical time: close to wall time, and later than every time its process has seen before.
struct HybridTime
{
    WallTime wall{};
    std::uint32_t counter = 0; ///< orders events within one millisecond

    auto operator<=>(const HybridTime &) const = default; // NOLINT(modernize-use-nullptr): false alarm of clang-tidy 14
};

/// Writes "MILLISECONDS.COUNTER", the form sent to peers.
std::string toText(const HybridTime &time);

/// Reads what toText() writes, nothing when malformed.
std::optional<HybridTime> parseHybridTime(std::string_view text);

/// Times from peers that are further ahead of the local clock than this are ignored.
constexpr std::chrono::milliseconds MaxClockLead = std::chrono::minutes(1);

/// A hybrid logical clock. Thread safe.
class HybridClock
{
public:
    explicit HybridClock(std::function<WallTime()> wall = wallNow);

    /// A time later than every one returned or observed before.
    HybridTime now();

    /// Merges a time received from a peer, so that all later times of this clock are greater.
    /// A time more than MaxClockLead ahead is ignored: one wrong clock must not advance all others.
    HybridTime observe(const HybridTime &remote);

private:
    HybridTime advance(HybridTime floor);

    std::function<WallTime()> m_wall;
    std::mutex m_mutex;
    HybridTime m_last;
};

} // namespace auburndrum
