#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburndrum {

/// How often the same message may be repeated.
struct RepeatLimit
{
    std::uint32_t messages = 20; ///< within one window
    std::chrono::milliseconds window{std::chrono::seconds(10)};
    std::size_t maxKeys = 1000; ///< messages tracked at once; more are let through uncounted
};

/// Lets the first repeats of a message through and counts the rest. Thread safe.
class RepeatLimiter
{
public:
    explicit RepeatLimiter(RepeatLimit limit = {});

    /// Returns how many messages were left out since the last one let through, or nothing when this one is to be left out.
    std::optional<std::uint64_t> admit(const std::string &key, Instant now);

private:
    struct Window
    {
        Instant start{};
        std::uint32_t admitted = 0;
        std::uint64_t leftOut = 0;
    };

    const RepeatLimit m_limit;
    std::mutex m_mutex;
    std::unordered_map<std::string, Window> m_windows;
};

} // namespace auburndrum
