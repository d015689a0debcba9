#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburndrum {

/// Rate limit for repeats of one message.
struct RepeatLimit
{
    std::uint32_t messages = 20; ///< maximum number let through per key and window
    std::chrono::milliseconds window{std::chrono::seconds(10)};
    std::size_t maxKeys = 1000; ///< maximum number of tracked keys; messages with further keys are let through without a limit
};

/// Limits how often each message is let through per time window and counts the suppressed ones. Thread safe.
class RepeatLimiter
{
public:
    explicit RepeatLimiter(RepeatLimit limit = {});

    /// Returns how many messages with this key were suppressed since the last one let through, or nothing when this one is suppressed.
    std::optional<std::uint64_t> admit(const std::string &key, Instant now);

private:
    struct Window
    {
        Instant start{};
        std::uint32_t admitted = 0;
        std::uint64_t suppressed = 0;
    };

    const RepeatLimit m_limit;
    std::mutex m_mutex;
    std::unordered_map<std::string, Window> m_windows;
};

} // namespace auburndrum
