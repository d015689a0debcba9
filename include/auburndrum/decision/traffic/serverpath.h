#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Options of a ServerPath.
struct ServerPathOptions
{
    std::size_t minServers = 3; ///< backend servers that must be out of reach, one after the other, until this VM counts as cut off
    std::chrono::milliseconds suspicionInterval{1000}; ///< least time between two checks of other servers after one was out of reach
    std::chrono::milliseconds probeInterval{250}; ///< between attempts to connect while it is cut off; doubles with each trial that fails
    std::chrono::milliseconds maxProbeInterval{2000};
    std::chrono::milliseconds trialTimeout{600}; ///< a trial without a result is over after this time
    std::chrono::milliseconds repeatableTrialTime{500}; ///< for this long after a probe only a request that may run again is a trial
};

/// @brief Whether this VM reaches any backend server, judged by its own connections to them.
///
/// Servers that can't be reached while others respond are their own fault; when several fail and none responds in between, this VM is taken to be cut off. A
/// wrong guess costs a hop through another VM, and ends with the first server that responds. While the VM is cut off it tries to connect now and then; after a
/// connection it sends one request as a trial, since a connection alone doesn't show that bytes pass. Times are on the clock that counts suspension. Not
/// thread-safe.
class ServerPath
{
public:
    explicit ServerPath(ServerPathOptions options = {});

    /// A server responded. Returns true when this ends the cut.
    bool onReached();
    /// No connection to the server, out of `listed` ones, could be opened. Returns true when the VM counts as cut off from now on.
    bool onUnreachable(std::string_view server, std::size_t listed, Instant now);

    bool isCut() const
    {
        return m_isCut;
    }
    /// Whether to try connections to some other servers now, since one was out of reach and none has responded since; counts as tried.
    bool takeSuspicion(Instant now);
    /// Whether to try a connection now; counts as tried.
    bool takeProbe(Instant now);
    /// A probe's connection was accepted.
    void onProbeConnected(Instant now);
    /// Whether this request goes to a server as the trial that follows a probe; true once for each.
    bool takeTrial(bool isRepeatable, Instant now);

private:
    ServerPathOptions m_options;
    std::set<std::string, std::less<>> m_unreachable; ///< since a server last responded
    bool m_isCut = false;
    std::chrono::milliseconds m_probeInterval;
    Instant m_suspectedAt{};
    Instant m_probedAt{};
    Instant m_connectedAt{}; ///< the last probe that was accepted and has had no trial yet; the epoch for none
    Instant m_trialUntil{};
};

} // namespace auburndrum::decision
