#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Options of a ServerPath.
struct ServerPathOptions
{
    std::size_t minServers = 3; ///< backend servers that must be out of reach, one after the other, until this VM counts as cut off
    std::chrono::milliseconds suspicionInterval{1000}; ///< least time between two checks of other servers after one was out of reach
    std::chrono::milliseconds lossCheckInterval{200}; ///< least time between two checks of servers after connections were lost
    std::chrono::milliseconds detectionTime{200}; ///< from the beginning of a cut until a new connection is tried that fails
    std::chrono::milliseconds probeInterval{250}; ///< between attempts to connect while it is cut off; doubles with each trial that fails
    std::chrono::milliseconds maxProbeInterval{2000};
    std::chrono::milliseconds trialTimeout{600}; ///< a trial without a result is over after this time
    std::chrono::milliseconds repeatableTrialTime{500}; ///< for this long after a probe only a request that may run again is a trial
};

/// @brief Whether this VM reaches any backend server, judged by its own connections to them.
///
/// Servers that can't be reached while others respond are their own fault; when several fail and none responds in between, this VM is taken to be cut off. A
/// wrong guess costs a hop through another VM, and ends with the first server that responds. A connection that is lost under a request is no such failure, as
/// the request may have ended its server, but a reason to check. While the VM is cut off it tries to connect now and then; after a
/// connection it sends one request as a trial, since a connection alone doesn't show that bytes pass. Times are on the clock that counts suspension. Not
/// thread-safe.
class ServerPath
{
public:
    explicit ServerPath(ServerPathOptions options = {});

    /// This server responded, or an unknown one at its address. Returns true when this ends the cut.
    bool onReached(std::string_view server, Instant now);
    /// No connection to the server, out of `listed` ones, could be opened in the time `waited`. Returns true when the VM counts as cut off from now on.
    bool onUnreachable(std::string_view server, std::size_t listed, Instant now, std::chrono::milliseconds waited = std::chrono::milliseconds(0));

    bool isCut() const
    {
        return m_isCut;
    }
    /// A connection to the server was lost under a request.
    void onLost(std::string_view server, Instant now);
    /// From when on lost connections ended with this VM's path and say nothing about their servers; empty while nothing shows that they did.
    std::optional<Instant> pathLostSince() const;
    /// Whether a connection that was lost at this time ended with this VM's path.
    bool isPathLoss(Instant lostAt) const;
    /// Whether to try connections to some other servers now, since one was out of reach and none has responded since; counts as tried.
    bool takeSuspicion(Instant now);
    /// Whether to try connections to some servers now, since one under a request was lost; counts as tried.
    bool takeLossCheck(Instant now);
    /// Whether to try a connection now; counts as tried.
    bool takeProbe(Instant now);
    /// A probe's connection was accepted, and not reset for a moment.
    void onProbeConnected(Instant now);
    /// Whether this request goes to a server as the trial that follows a probe; true once for each.
    bool takeTrial(bool isRepeatable, Instant now);

private:
    ServerPathOptions m_options;
    std::set<std::string, std::less<>> m_unreachable; ///< since a server last responded
    Instant m_unreachableSince{}; ///< when the first connection to one of these was tried
    Instant m_reachedAt{}; ///< when a server last responded
    std::map<std::string, Instant, std::less<>> m_lost; ///< servers that have not responded since a connection to them was lost, and when the last one was
    bool m_isCut = false;
    std::chrono::milliseconds m_probeInterval;
    Instant m_suspectedAt{};
    Instant m_lossCheckedAt{};
    Instant m_probeConnectedAt{}; ///< the last probe that was accepted
    Instant m_probedAt{};
    Instant m_connectedAt{}; ///< the last probe that was accepted and has had no trial yet; the epoch for none
    Instant m_trialUntil{};
};

} // namespace auburndrum::decision
