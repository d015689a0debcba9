#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/nametable.h"
#include "auburndrum/decision/stringmap.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Handle of one backend server in a ServerTable; no longer valid once the server is removed or replaced.
struct ServerId
{
    std::uint32_t slot = 0;
    std::uint32_t generation = 0;

    friend bool operator==(const ServerId &, const ServerId &) = default;

    template<typename H>
    friend H AbslHashValue(H h, const ServerId &id) // NOLINT(readability-identifier-naming): the name that Abseil calls
    {
        return H::combine(std::move(h), id.slot, id.generation);
    }
};

/// A backend server as listed by the VM list or a peer.
struct ServerEntry
{
    std::string address; ///< "IP:PORT", the identity of the server
    std::string zone;
    std::string region;
    std::string service;
    std::uint64_t incarnation = 0; ///< increases with each start of the server
};

/// Load that a backend server reported.
struct ServerLoadReport
{
    std::uint64_t incarnation = 0;
    std::string weightVersion; ///< weight version that the server serves; empty when none or unknown
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    std::uint64_t queuedPrefillTokens = 0;
    std::uint64_t cacheUsedTokens = 0;
    std::uint64_t cacheCapacityTokens = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    bool leaving = false;
    Instant measuredAt{}; ///< when the server measured the load: time of receipt less report_age_ms
};

/// A request sent by this entry VM after the time of the server's latest load report.
struct SentRequest
{
    Instant sentAt{};
    std::uint32_t prefillTokens = 0;
};

/// State of one backend server as known to this entry VM.
struct Server
{
    ServerId id;
    std::string address;
    NameId zone = 0;
    NameId region = 0;
    NameId service = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t addressHash = 0; ///< of the address, for rendezvous hashing
    bool leaving = false;
    bool hasLoadReport = false; ///< a load report of this incarnation was received
    ServerLoadReport load;
    std::vector<SentRequest> unreportedRequests; ///< requests sent since the load report, oldest first
    std::uint32_t inFlight = 0; ///< requests of this entry VM that have not finished
};

/// Backend servers known to this entry VM. Soft state: a wrong value delays requests but breaks none. Not thread-safe.
class ServerTable
{
public:
    /// Adds a server. An incarnation that is not newer than the known one is ignored; a newer one replaces it.
    std::optional<ServerId> put(const ServerEntry &entry);

    /// Removes the server at @p address when its incarnation is at most @p incarnation.
    void remove(std::string_view address, std::uint64_t incarnation);

    /// Marks an incarnation as leaving permanently: it gets no new requests, even when it is removed and put again.
    void markLeaving(std::string_view address, std::uint64_t incarnation);

    /// Applies a load report and drops the unreported requests that it includes.
    void applyLoadReport(std::string_view address, const ServerLoadReport &load);

    /// Applies the weight version seen in a response, which is more recent than any load report.
    void observeVersion(ServerId id, std::string_view version);

    /// Records a request sent to @p id, with the prompt tokens that the server has to prefill.
    void onSent(ServerId id, std::uint32_t prefillTokens, Instant now);

    /// Records that a request to @p id has finished.
    void onFinished(ServerId id);

    /// Returns the server, or nullptr when @p id is no longer valid.
    const Server *find(ServerId id) const;
    const Server *find(std::string_view address) const;

    /// Slots of all servers of a service; empty for an unknown service.
    const std::vector<std::uint32_t> &slotsOfService(std::string_view service) const;
    /// Address hashes of the same servers in the same order, in one array so that rendezvous hashing reads memory in sequence.
    const std::vector<std::uint64_t> &hashesOfService(std::string_view service) const;

    const Server &at(std::uint32_t slot) const;

    /// Names of zones, regions and services.
    const NameTable &names() const;

    std::size_t size() const;

private:
    struct ServiceServers
    {
        std::vector<std::uint32_t> slots;
        std::vector<std::uint64_t> hashes;
    };

    const ServiceServers &serviceServers(std::string_view service) const;
    Server *findMutable(ServerId id);
    bool isMarkedLeaving(std::string_view address, std::uint64_t incarnation) const;

    NameTable m_names{1U << 16U};
    std::vector<Server> m_servers;
    std::vector<std::uint32_t> m_freeSlots;
    StringMap<std::uint32_t> m_byAddress;
    absl::flat_hash_map<NameId, ServiceServers> m_byService;
    StringMap<std::uint64_t> m_leavingIncarnations; ///< highest incarnation marked as leaving, by address
};

} // namespace auburndrum::decision
