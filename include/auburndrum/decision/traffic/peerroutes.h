#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/traffic/relaydirectory.h"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of a PeerRoutes.
struct PeerRoutesOptions
{
    std::string zone; ///< zone of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    std::chrono::milliseconds noPathPause{1000}; ///< a VM without a path is not asked again for this time, which doubles each time that it has none
    std::chrono::milliseconds maxNoPathPause{2000}; ///< with many VMs, failuresUntilPause bounds what is asked in vain
    std::chrono::milliseconds provenTime{2000}; ///< a VM that served a request this short a time ago is taken to have a path
    double unprovenCost = 1; ///< any other is asked when those that have one have so many more of this VM's requests in progress
    std::chrono::milliseconds silencePause{2000}; ///< a VM that did not answer is left alone this long
    std::chrono::milliseconds unknownCallPause{10000}; ///< a VM whose version doesn't know the call is left alone this long; it may be replaced by then
    std::uint32_t failuresUntilPause = 8; ///< VMs in a row without a path after which none is asked: then the servers are down, not the path
    std::chrono::milliseconds pause{500}; ///< how long none is asked then
    double otherZoneCost = 1; ///< a VM in another zone of the region is chosen when a near one has this many more of this VM's requests in progress
    double otherRegionCost = 6;
};

/// @brief Chooses the entry VM through which a request reaches the servers of a service, while this VM has no path to them.
///
/// Requests are spread over all VMs that are not known to lack a path, the near ones first. Whether a VM has a path is seen from what it answers, so nothing is
/// exchanged beforehand. Times are on the clock that counts suspension. Not thread-safe.
class PeerRoutes
{
public:
    explicit PeerRoutes(PeerRoutesOptions options);

    /// The VM to pass a request for the service on to, out of these; nothing when none is worth asking now.
    std::optional<EntryVm> choose(
        std::string_view service, const std::vector<EntryVm> &vms, const std::vector<std::string> &tried, Instant now, absl::BitGenRef random) const;
    void onSent(std::string_view vm);
    void onFinished(std::string_view vm);
    /// The VM passed on an answer, or refused the request as it does its own callers'.
    void onServed(std::string_view service, std::string_view vm, Instant now);
    /// The VM answered that it reaches no server of the service either.
    void onNoPath(std::string_view service, std::string_view vm, Instant now);
    /// The VM runs a version that doesn't know requests that are passed on.
    void onUnknownCall(std::string_view vm, Instant now);
    /// The VM did not answer, or could not be reached.
    void onSilent(std::string_view vm, Instant now);

private:
    struct Route
    {
        Instant avoidedUntil{};
        std::chrono::milliseconds pause{0}; ///< the last time for which it was avoided
        std::optional<Instant> servedAt;
    };
    struct Service
    {
        std::uint32_t failures = 0; ///< VMs in a row without a path
        Instant pausedUntil{};
        std::map<std::string, Route, std::less<>> routes; ///< by VM
    };

    double distanceCost(const std::string &zone) const;
    bool isSilent(std::string_view vm, Instant now) const;

    PeerRoutesOptions m_options;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, Instant, std::less<>> m_silentUntil; ///< by VM
    std::map<std::string, std::uint32_t, std::less<>> m_inProgress; ///< requests passed on, by VM
};

} // namespace auburndrum::decision
