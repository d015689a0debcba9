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

/// What may be repeated when a request fails.
enum class RequestKind : std::uint8_t {
    Safe, ///< may run any number of times
    Unsafe, ///< runs at most once
    Streaming, ///< answered by events; runs at most once unless its route is resumable
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
    std::chrono::milliseconds timeout{0}; ///< the caller has a final answer by then
    std::chrono::milliseconds targetLatency{0}; ///< an answer, or the first event of one, is on time until then
    std::chrono::milliseconds maxEventGap{0}; ///< between two events of a stream that is on time
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxServers = 1; ///< backend servers that one request may be sent to
    bool isPublic = false; ///< needs no API key
    bool carriesPrompt = false;
    bool isResumable = false; ///< a broken stream may go on at another backend server

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
    std::uint32_t memoryTokens = 0;
    std::uint32_t bytesPerToken = 0;
};

/// What the configuration says of one service's backend servers.
struct ServiceTraits
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< of one backend server, from all entry VMs together; 0 when unknown
    std::optional<EngineTraits> engine; ///< absent for plain services
};

/// A store of cached prompts, which engines fill and read.
struct PromptStoreTraits
{
    std::string address; ///< IP:PORT
    std::string zone;
    std::uint64_t capacityTokens = 0;
    double linkBitsPerSecond = 0; ///< of its link; transfers follow one another
    std::chrono::microseconds transferLatency{0}; ///< that each transfer waits besides
    bool isManaged = false; ///< drops nothing by itself, and takes an address for each prompt part
    std::uint32_t maxReaders = 0; ///< entry VMs that may follow its changes at once; 0 when unknown
};

/// Bounds on callers.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};

    bool operator==(const CallerLimits &) const = default;
};

/// A customer whose requests are known by an API key.
struct Organisation
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< goes before the route's
    bool hasPrivateCache = false; ///< shares no cached prompt with others
};

/// One version of the whole configuration; immutable once it is in force.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceTraits, std::less<>> services;
    std::vector<PromptStoreTraits> promptStores;
    CallerLimits limits;
    bool requiresApiKeys = false; ///< requests carry an API key unless their route is public
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
