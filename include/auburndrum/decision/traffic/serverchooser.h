#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/circuitbreaker.h"
#include "auburndrum/decision/traffic/backendlist.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/namedweights.h"
#include "auburndrum/decision/traffic/promptcacheestimate.h"
#include "auburndrum/decision/traffic/storedprompts.h"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Load that a backend server told with an answer; it counts the requests of all entry VMs.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Options of a ServerChooser.
struct ServerChooserOptions
{
    std::string zone; ///< of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    /// Extra cost of a server in another zone: the way there and back within a region, a few milliseconds as measured on the platform.
    std::chrono::microseconds crossZoneCost{3000};
    std::chrono::microseconds crossRegionCost{25000}; ///< the same between regions
    std::chrono::milliseconds maxReportAge{2000}; ///< an older load report says nothing of the present
    std::chrono::milliseconds refusalBackoff{200}; ///< a server that refused for want of room gets nothing new for so long
    /// A request on older weights earns a fifth less by the platform's page; a wait that makes it late costs more than that.
    std::chrono::milliseconds outdatedWeightsCost{250};
    std::chrono::milliseconds outdatedWeightsGrace{5000}; ///< servers with older weights get nothing new once newer ones were named so long ago
    double initialPrefillRate = 30; ///< prompt tokens per millisecond of an engine, until it is learned
    double promptCacheShare = 0.6; ///< part of an engine's memory that cached prompts are taken to fill
};

/// What a request asks of the chooser.
struct ServerQuery
{
    std::string_view service;
    const Prompt *prompt = nullptr; ///< null for plain services
    std::string_view organisation; ///< that shares no cached prompts with others; empty for all the rest
    std::string_view spreadKey; ///< spreads requests without prompt; may be empty
    const NamedWeights *namedWeights = nullptr; ///< of the prompt's model; null when none were named
    std::vector<std::string> triedServers; ///< servers that this request was sent to
};

/// Where a request goes and what was believed of that server.
struct ServerChoice
{
    std::string id;
    std::string address;
    std::chrono::microseconds expectedWait{}; ///< until the request's prompt is read, or a slot is free
    std::uint32_t memoryTokens = 0; ///< that the request takes while it runs
    std::uint32_t uncachedTokens = 0; ///< of the prompt, that are probably not cached there
    std::uint32_t runningRequests = 0; ///< own and reported requests there
    std::chrono::milliseconds reportAge{-1}; ///< negative: it has reported no load
    std::chrono::milliseconds entryAge{}; ///< since its entry in the list changed
    std::uint64_t weightVersion = 0; ///< version of the prompt's model there; 0 when unknown
    std::string zone;
    std::string cacheScope; ///< of cached prompt parts there; empty for plain services
    std::vector<std::string> partSources; ///< where each prompt part may be fetched from; empty text for nowhere
};

/// Why there is no choice.
enum class NoServerReason : std::uint8_t {
    NoneListed, ///< the service has no server that takes requests
    AllTried,
    AllFailing, ///< failing or silent ones only
    AllFull,
    AllLoadingWeights, ///< only servers that load weights
    OutdatedWeights, ///< only servers whose weights are out of date
};

const char *toText(NoServerReason reason);

/// @brief Chooses the backend server of each request, from the list, reported loads and what this process sent.
///
/// Requests with one home key prefer one server, by rendezvous hash, so that entry VMs agree without a message; load,
/// distance and cached prompt parts decide by estimated time. Not thread-safe.
class ServerChooser
{
public:
    ServerChooser(ServerChooserOptions options, const BackendList &servers, const StoredPrompts &kept);

    void configure(const Configuration &configuration);
    void setOutdatedWeightsGrace(std::chrono::milliseconds limit);

    /// The server for this request, or why there is none.
    std::optional<ServerChoice> choose(const ServerQuery &query, Instant now, NoServerReason &reason) const;

    /// A request was sent; `prompt` is null for plain services.
    void onSent(const ServerChoice &choice, const Prompt *prompt, Instant now);
    /// Its first event or its whole answer has come after `elapsed`.
    void onFirstEvent(const ServerChoice &choice, std::chrono::microseconds elapsed, Instant now);
    /// The request no longer uses the server. `hadAnswer`: answered() was called for it.
    void onFinished(const ServerChoice &choice, bool hadAnswer, std::chrono::microseconds elapsed);

    void onLoadReport(std::string_view id, const LoadReport &load, Instant now);
    void recordSuccess(std::string_view id);
    void recordFailure(std::string_view id, Instant now, absl::BitGenRef random);
    /// The server refused a request without running it.
    void onRefused(std::string_view id, Instant now);
    /// The server loads weights of this version and refuses requests until it is done, or until `until`.
    void setLoading(std::string_view id, Instant until, std::uint64_t version);
    /// Forgets a server that is gone or was started again.
    void forget(std::string_view id);

    std::uint32_t ownRequests(std::string_view id) const;
    /// When the server last answered anything to this process; nothing before its first answer.
    std::optional<Instant> lastAnswerAt(std::string_view id) const;

private:
    struct Load
    {
        std::uint32_t ownRequests = 0; ///< requests of this process that it has
        double ownUncachedTokens = 0; ///< prompt tokens of those without a first event
        double ownMemoryTokens = 0; ///< memory that those with a prompt take when they run
        LoadReport report;
        std::uint32_t ownRequestsAtReport = 0;
        std::optional<Instant> reportedAt;
        std::optional<Instant> answeredAt;
        std::optional<Instant> fullUntil;
        Instant loadingUntil{};
        std::uint64_t loadingVersion = 0;
        CircuitBreaker breaker;
        PromptCacheEstimate promptCache;
    };

    const Load *findLoad(std::string_view id) const;
    Load &loadOf(std::string_view id);
    ServerChoice assess(const ServerQuery &query, const BackendList::Entry &entry, bool isHome, Instant now) const;
    /// How long a request waits until the engine's memory has room for it.
    std::chrono::microseconds memoryWait(const BackendList::Entry &entry, const Load &load, std::uint32_t others, std::uint32_t need) const;
    /// Adds what reading the prompt takes there, in milliseconds of the engine.
    double prefillTime(const ServerQuery &query, const BackendList::Entry &entry, const Load &load, bool isHome, ServerChoice &choice) const;
    bool areWeightsPastGrace(const ServerQuery &query, std::uint64_t version, Instant now) const;
    std::chrono::microseconds networkCost(const std::string &zone) const;

    ServerChooserOptions m_options;
    const BackendList &m_servers;
    const StoredPrompts &m_storedPrompts;
    std::map<std::string, EngineTraits, std::less<>> m_engines; ///< by service
    std::map<std::string, Load, std::less<>> m_loads;
    double m_prefillRate; ///< prompt tokens per millisecond
    double m_meanMemoryTokens = 4000; ///< moving mean of the memory that a request takes; starts at a common prompt
    std::chrono::microseconds m_meanResidence{1000000}; ///< moving mean of the time that a request stays at an engine
    std::chrono::microseconds m_meanPlainTime{50000}; ///< moving mean of a plain answer; starts at a common value
};

} // namespace auburndrum::decision
