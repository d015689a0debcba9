#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace auburndrum::standins {

/// One run whose events can be read again.
struct StreamRecord
{
    std::string promptHash; ///< its tokens follow from it
    std::string version; ///< weight version that runs it
    bool chat = false; ///< events in the form of /v1/chat/completions
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint32_t maxTokens = 0;
    bool started = false;
    std::uint32_t emitted = 0; ///< tokens so far
    std::optional<Instant> endedAt;
};

/// Streams under way and those that ended a short time ago, by attempt.
class StreamTable
{
public:
    explicit StreamTable(std::chrono::milliseconds keptAfterEnd = std::chrono::minutes(1));

    void add(const std::string &attempt, const StreamRecord &record);
    void remove(const std::string &attempt);

    /// Returns the stream, or null when there is none or it ended too long ago.
    StreamRecord *find(const std::string &attempt, Instant now);

    void dropExpired(Instant now);

private:
    bool isExpired(const StreamRecord &record, Instant now) const;

    std::chrono::milliseconds m_keptAfterEnd;
    std::map<std::string, StreamRecord> m_streams;
};

} // namespace auburndrum::standins
