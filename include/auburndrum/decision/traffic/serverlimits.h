#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/traffic/permitowners.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of a ServerLimits.
struct ServerLimitsOptions
{
    std::string vm; ///< name of this entry VM
    std::chrono::milliseconds permitLifetime{1000}; ///< an unused permit lapses after this time
    /// Longest time between two permits of a server, however low its limit: only a response shows that the limit has changed.
    std::chrono::milliseconds maxPermitInterval{5000};
    std::chrono::milliseconds minPermitInterval{1}; ///< for limits beyond what any server serves
    std::chrono::milliseconds confirmInterval{2000}; ///< without a response for this long, the limit is to be confirmed by a request
    std::chrono::milliseconds endedLifetime{30000}; ///< an ended limit is remembered this long, so that no other VM's older notice revives it
    std::size_t maxServers = 4096; ///< servers about which notices are kept
};

/// What a backend server last said of its limit, in a response to any entry VM.
struct LimitNotice
{
    std::string server;
    WallTime startedAt{}; ///< start of the incarnation that said so
    double perSecond = 0; ///< requests a second that it takes from all entry VMs together; 0: the limit has ended
    std::uint64_t number = 0; ///< rises with each response that a VM received, above all numbers that it knew for this server
    std::string vm; ///< the entry VM that received the response
    Instant at{}; ///< when it was received
    Instant numberedFrom{}; ///< permits are numbered from this moment on; the earliest that any VM knows counts
};

/// How a response changed what is known of a server's limit.
enum class LimitChange : std::uint8_t {
    None,
    Named,
    Changed, ///< by a notable share; small changes are applied too, but are no news
    Ended,
};

const char *toText(LimitChange change);

/// @brief Shares the request limits that backend servers name among the entry VMs.
///
/// A limit of L requests a second is a sequence of permits, one each 1/L seconds, for one request each. Each permit belongs to one VM, chosen by rendezvous
/// hash of the server, the permit's number and the VM, so that VMs which know the same VMs agree without a message and the sum over all holds, also where the
/// limit is less than one request of each VM. A permit that its VM doesn't use lapses soon. Notices of limits and of their end are exchanged between the VMs;
/// of two, that with the higher number holds. A limit belongs to one incarnation of its server. All times are on the clock that counts suspension. Not
/// thread-safe.
class ServerLimits
{
public:
    explicit ServerLimits(ServerLimitsOptions options);

    /// The VMs that share the permits, this one included. While there are none, this VM gets no permits.
    void setVms(const std::vector<std::string> &vms);

    /// A response of the server arrived, to a request that was sent at `sentAt`; `perSecond` is empty when it names no limit.
    LimitChange onResponse(std::string_view server, WallTime startedAt, std::optional<double> perSecond, Instant sentAt, Instant now);
    /// A request is sent to the server; takes a permit where it has a limit.
    void onSent(std::string_view server, WallTime startedAt, Instant now);
    /// Discards what is known of a server that was removed or restarted.
    void forget(std::string_view server);

    /// Whether no server has a limit.
    bool isEmpty() const
    {
        return m_limits.empty();
    }
    /// The limit in force, requests a second; nothing when the server has none.
    std::optional<double> find(std::string_view server, WallTime startedAt) const;
    /// The earliest moment at which any VM heard of the limit in force.
    std::optional<Instant> numberedFrom(std::string_view server, WallTime startedAt) const;
    /// Whether a request may be sent to the server now: it has no limit, or this VM has a permit.
    bool allows(std::string_view server, WallTime startedAt, Instant now) const;
    /// Whether this VM has a permit, and no VM has heard from the server for a while: a request would show whether its limit still holds.
    bool awaitsConfirmation(std::string_view server, WallTime startedAt, Instant now) const;
    /// @brief Time until this VM's next permit for the server that was not promised to another caller before; promises it when that is within `patience`.
    /// Zero when the server has no limit.
    std::chrono::milliseconds promisePermit(std::string_view server, WallTime startedAt, std::chrono::milliseconds patience, Instant now);
    /// Time until the next permit that promisePermit() would promise.
    std::chrono::milliseconds timeToPermit(std::string_view server, WallTime startedAt, Instant now) const;

    /// What the other entry VMs need to know.
    std::vector<LimitNotice> notices() const;
    /// Adds another VM's notices; returns those that changed a limit.
    std::vector<std::pair<LimitNotice, LimitChange>> merge(const std::vector<LimitNotice> &notices, Instant now);
    /// Forgets limits that ended long ago.
    void removeOld(Instant now);
    /// Time until notices should be exchanged again; nothing while there are none.
    std::optional<std::chrono::milliseconds> exchangeInterval(Instant now) const;

private:
    struct Limit
    {
        LimitNotice notice;
        Instant changedAt{};
        Instant usedUntil{}; ///< permits up to this moment are used or lapsed
        Instant promisedUntil{}; ///< permits up to this moment are promised to callers that were refused
        mutable std::optional<Instant> nextPermit; ///< the first own permit after `usedUntil`; empty when it must be sought
    };

    const Limit *findInForce(std::string_view server, WallTime startedAt) const;
    std::chrono::nanoseconds permitInterval(const Limit &it) const;
    /// The first permit after a moment that belongs to this VM; nothing when none is near.
    std::optional<Instant> ownPermitAfter(const Limit &it, Instant moment) const;
    std::optional<Instant> nextPermit(const Limit &it, Instant now) const;
    std::optional<Instant> nextPromise(const Limit &it, Instant now) const;
    LimitChange apply(Limit &it, const LimitNotice &notice, Instant now);

    ServerLimitsOptions m_options;
    PermitOwners m_owners;
    std::map<std::string, Limit, std::less<>> m_limits; ///< by server, ended ones too
};

} // namespace auburndrum::decision
