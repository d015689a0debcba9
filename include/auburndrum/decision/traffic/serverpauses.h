#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Options of a ServerPauses.
struct ServerPausesOptions
{
    std::chrono::milliseconds leavingTime{2500}; ///< a server that says that it leaves may still get requests for this time
    std::chrono::milliseconds leavingMargin{500}; ///< reserve before that time is over
    std::chrono::milliseconds maxRest{3600000}; ///< longest time that a server's word holds without another one
    std::size_t maxServers = 4096; ///< of which something is remembered
};

/// @brief What backend servers asked of this VM in their responses: no more requests, since they leave, or none for a time.
///
/// Each word belongs to one incarnation. What one server asks of this VM holds for this VM alone. Times are on the clock that counts suspension. Not
/// thread-safe.
class ServerPauses
{
public:
    explicit ServerPauses(ServerPausesOptions options = {});

    void setLeavingTime(std::chrono::milliseconds time);

    /// The server says that it leaves. Returns whether that is new.
    bool onLeaving(std::string_view server, WallTime startedAt, Instant now);
    /// The server wants no request for this time. Returns whether it had not asked for a rest that still lasts.
    bool onRest(std::string_view server, WallTime startedAt, std::chrono::milliseconds time, Instant now);

    bool isLeaving(std::string_view server, WallTime startedAt) const;
    /// Whether a leaving server may still get a request that finds no other one.
    bool mayUseLeaving(std::string_view server, WallTime startedAt, Instant now) const;
    /// The time until the server wants requests again; zero when it does.
    std::chrono::milliseconds restLeft(std::string_view server, WallTime startedAt, Instant now) const;

private:
    struct Words
    {
        WallTime startedAt{};
        std::optional<Instant> leavingSince;
        Instant restUntil{};
    };

    Words *wordsOf(std::string_view server, WallTime startedAt);
    const Words *find(std::string_view server, WallTime startedAt) const;

    ServerPausesOptions m_options;
    std::map<std::string, Words, std::less<>> m_words;
};

} // namespace auburndrum::decision
