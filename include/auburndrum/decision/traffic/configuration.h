#pragma once

#include "auburndrum/decision/stringmap.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// How often a request may run, which decides whether it is retried after a failure.
enum class RequestKind : std::uint8_t {
    Safe, ///< may run any number of times
    Unsafe, ///< runs at most once
    Streaming, ///< answered by a stream of events; runs at most once unless its route is resumable
};

/// One service that a route may use, and its share of the requests.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests that share a host and a path prefix, and how they are handled.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Unsafe;
    std::vector<RouteTarget> targets; ///< never empty
    std::chrono::milliseconds timeout{0}; ///< longest time until the caller gets its final response
    std::chrono::milliseconds targetLatency{0}; ///< time within which a response, or the first event of a stream, is on time
    std::chrono::milliseconds maxEventGap{0}; ///< longest time between two events of a stream that is on time
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxServers = 1; ///< most backend servers that one request may be sent to
    bool isPublic = false; ///< needs no API key
    bool carriesPrompt = false;
    bool isResumable = false; ///< a broken stream may be continued at another backend server

    /// Whether a request that may have run can be sent again.
    bool isRepeatable() const
    {
        return kind == RequestKind::Safe || isResumable;
    }
};

/// Memory and batching of the model engines of one service.
struct EngineTraits
{
    std::uint32_t batchSlots = 1;
    std::uint32_t memoryTokens = 0; ///< tokens of prompts and outputs that an engine's memory holds
    std::uint32_t bytesPerToken = 0;
};

/// Settings of one service's backend servers.
struct ServiceTraits
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< most connections to one backend server, from all entry VMs together; 0 when unknown
    std::optional<EngineTraits> engine; ///< absent for plain services
};

/// A store of cached prompts, which engines fill and read.
struct PromptStoreTraits
{
    std::string address; ///< IP:PORT
    std::string zone;
    std::uint64_t capacityTokens = 0;
    double linkBitsPerSecond = 0; ///< bandwidth of its link; transfers run one after another
    std::chrono::microseconds transferLatency{0}; ///< fixed delay before each transfer
    bool isManaged = false; ///< evicts nothing by itself, and accepts one address per prompt part
    std::uint32_t maxReaders = 0; ///< most entry VMs that may follow its changes concurrently; 0 when unknown
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};

    bool operator==(const CallerLimits &) const = default;
};

/// A customer, identified by its API keys.
struct Organisation
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    bool hasPrivateCache = false; ///< shares no cached prompts with other organisations
};

/// One version of the whole configuration; immutable once it is in force.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceTraits, std::less<>> services;
    std::vector<PromptStoreTraits> promptStores;
    CallerLimits limits;
    bool requiresApiKeys = false; ///< requests need an API key unless their route is public
    std::vector<Organisation> organisations;
    StringMap<std::size_t> organisationByKey; ///< API key to the index of its organisation

    /// Sorts the routes for findRoute(). Call it once after filling them in.
    void indexRoutes();
    /// The route of this host with the longest prefix of `path`; null for none.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds this API key; null for none.
    const Organisation *findOrganisation(std::string_view key) const;

private:
    StringMap<std::vector<std::size_t>> m_routesByHost; ///< longest prefix first
};

} // namespace auburndrum::decision
