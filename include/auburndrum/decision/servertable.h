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

/// Handle of one backend server in a ServerTable; goes stale when the server is removed.
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

/// What the VM list or a peer says about one backend server.
struct ServerEntry
{
    std::string address; ///< "IP:PORT", the identity of the server
    std::string zone;
    std::string region;
    std::string service;
    std::uint64_t incarnation = 0; ///< grows with each start of the server
};

/// One load report of a backend server.
struct ServerLoadReport
{
    std::uint64_t incarnation = 0;
    std::string weightVersion; ///< weight version that it serves
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    std::uint64_t queuedPrefillTokens = 0;
    std::uint64_t cacheUsedTokens = 0;
    std::uint64_t cacheCapacityTokens = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    bool leaving = false;
    Instant measuredAt{}; ///< when the server measured it: receipt less report_age_ms
};

/// One request that this entry sent and that a report may not show yet.
struct SentRequest
{
    Instant sentAt{};
    std::uint32_t prefillTokens = 0;
};

/// One backend server as this entry knows it.
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
    bool hasLoadReport = false; ///< a load report of this incarnation has come
    ServerLoadReport load;
    std::vector<SentRequest> unreportedRequests; ///< since the report, oldest first
    std::uint32_t inFlight = 0; ///< own requests under way
};

/// Backend servers known to this entry. Soft state: a wrong value costs time only. Not thread-safe.
class ServerTable
{
public:
    /// Adds or updates a server. An older incarnation than the known one is ignored; a newer one starts afresh.
    std::optional<ServerId> put(const ServerEntry &entry);

    /// Removes the server at @p address when its incarnation is at most @p incarnation.
    void remove(std::string_view address, std::uint64_t incarnation);

    /// Marks an incarnation as leaving, for good: it gets no new work from here on, also when removed and put again.
    void markLeaving(std::string_view address, std::uint64_t incarnation);

    /// Takes a load report, and drops from the sent requests those that it covers.
    void applyLoadReport(std::string_view address, const ServerLoadReport &load);

    /// Takes the weight version seen in a reply, which is newer than any report.
    void observeVersion(ServerId id, std::string_view version);

    /// Counts a request sent to @p id, with the prompt tokens that it has to compute.
    void onSent(ServerId id, std::uint32_t prefillTokens, Instant now);

    /// Counts a request to @p id as ended.
    void onFinished(ServerId id);

    /// Returns the server, or nullptr when @p id went stale.
    const Server *find(ServerId id) const;
    const Server *find(std::string_view address) const;

    /// Slots of all servers of a service. Empty for an unknown one.
    const std::vector<std::uint32_t> &slotsOfService(std::string_view service) const;
    /// Address hashes of the same servers in the same order, side by side for rendezvous hashing over many.
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
    StringMap<std::uint64_t> m_leavingIncarnations; ///< newest incarnation that leaves, by address
};

} // namespace auburndrum::decision
