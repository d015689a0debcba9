#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/traffic/permitowners.h"
#include "auburndrum/decision/traffic/serverlimits.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of a BrittleServers.
struct BrittleServersOptions
{
    std::string vm; ///< name of this entry VM
    std::chrono::milliseconds settleTime{4000}; ///< from the first word on in which rejections do no harm yet
    double riskedShare = 0.6; ///< of the rejections that a server bears in a second, which all VMs together may cause
    std::chrono::milliseconds rejectionPause{500}; ///< a server that turned this VM's request away gets none from it for this time
    std::chrono::milliseconds fullTime{3000}; ///< a server that turned a request away is taken to have no more room than it showed for this time
    double leastBorne = 0.25; ///< rejections a second that a server is taken to bear, should it name none
    std::chrono::milliseconds permitLifetime{400}; ///< an unused permit lapses after this time, so that few meet in one second
    std::size_t maxServers = 4096; ///< of which the room is remembered
};

/// How many requests a brittle server was seen to hold at a time.
struct ServerRoom
{
    std::string server;
    WallTime startedAt{}; ///< start of its incarnation
    std::uint32_t requests = 0;
    Instant seenAt{};
    Instant rejectedAt{}; ///< when it last turned a request away
};

/// @brief Keeps requests away from servers that would have to turn them away, where a service's servers bear few rejections a second from all entry VMs.
///
/// A server's room is not known, so it is learned from what the server holds: each place in it belongs to one VM, by rendezvous hash, and only that VM uses it,
/// so that no two VMs fill the same place. A request beyond these places takes one of a few permits a second, which the VMs share in the same way; if the
/// server takes it, the room is larger, if not, smaller. The words of a service and the rooms are exchanged between VMs. Times are on the clock that counts
/// suspension. Not thread-safe.
class BrittleServers
{
public:
    explicit BrittleServers(BrittleServersOptions options);

    void setVms(const std::vector<std::string> &vms);
    void setSettleTime(std::chrono::milliseconds time);

    /// A response arrived to a request sent at `sentAt`; `borne`: rejections a second that a server bears, empty when it names none.
    LimitChange onResponse(std::string_view service, std::optional<double> borne, Instant sentAt, Instant now);
    /// A server took a request sent at `sentAt`, when this VM had `ownRequests` there, this one included; `held`: requests there that it reports.
    void onTaken(
        std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, std::uint32_t held, Instant sentAt, Instant now);
    /// A server turned a request away while it held this many; nothing when it doesn't report that.
    void onRejected(std::string_view service, std::string_view server, WallTime startedAt, std::optional<std::uint32_t> held, Instant now);
    /// A request is sent to a server at which this VM has `ownRequests` others.
    void onSent(std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, Instant now);

    /// Whether a request may be sent to a server at which this VM has `ownRequests` others.
    bool allows(std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, Instant now) const;

    /// The words of services; a notice names the service instead of a server.
    ServerLimits &words()
    {
        return m_words;
    }
    const ServerLimits &words() const
    {
        return m_words;
    }
    std::vector<ServerRoom> rooms() const;
    void merge(const std::vector<ServerRoom> &rooms, Instant now);

private:
    struct Room
    {
        WallTime startedAt{};
        std::uint32_t requests = 0;
        Instant seenAt{};
        Instant rejectedAt{}; ///< when it last turned any VM's request away
        Instant pausedUntil{}; ///< after it turned this VM's request away
        Instant usedUntil{}; ///< permits up to this moment are used
    };

    /// From when on rejections count; nothing while the service is not brittle.
    std::optional<Instant> strictFrom(std::string_view service) const;
    const Room *find(std::string_view server, WallTime startedAt) const;
    Room &roomOf(std::string_view server, WallTime startedAt);
    std::uint32_t ownPlaces(std::string_view server, const Room &room) const;
    std::optional<Instant> nextPermit(std::string_view service, std::string_view server, const Room &room, Instant now) const;

    BrittleServersOptions m_options;
    PermitOwners m_owners;
    ServerLimits m_words;
    std::map<std::string, Room, std::less<>> m_rooms; ///< by server
};

} // namespace auburndrum::decision
