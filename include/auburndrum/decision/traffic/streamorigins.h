#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// The software whose backend server sent the first event of a stream. Only the same software can continue the stream.
struct StreamOrigin
{
    std::string service;
    std::string softwareVersion;

    bool operator==(const StreamOrigin &) const = default;
};

/// Options of a StreamOrigins.
struct StreamOriginsOptions
{
    std::chrono::milliseconds lifetime{120000}; ///< an origin is remembered this long after it was last recorded; longer than callers try again
    std::size_t maxOrigins = 32768; ///< the oldest are dropped first
};

/// @brief Origins of streams, by the id of the caller's attempt that received the first event. Times are on the clock that counts suspension.
///
/// Not thread-safe.
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginsOptions options = {});

    /// Remembers an origin; the first one recorded for an attempt holds.
    void record(std::string_view attempt, const StreamOrigin &origin, Instant now);
    std::optional<StreamOrigin> find(std::string_view attempt, Instant now);
    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry
    {
        StreamOrigin origin;
        Instant recordedAt{};
    };

    void removeOld(Instant now);

    StreamOriginsOptions m_options;
    std::map<std::string, Entry, std::less<>> m_origins;
    std::deque<std::pair<std::string, Instant>> m_byAge; ///< in the order of recording, with superseded times
};

/// The names of `vms` in the order in which they are asked to remember the origin of an attempt's stream, by rendezvous hash. VMs that know different VMs
/// agree on the order of those that both know.
std::vector<std::string> rankHolders(std::string_view attempt, std::vector<std::string> vms);

} // namespace auburndrum::decision
