#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/circuitbreaker.h"
#include "auburndrum/decision/stringmap.h"
#include "auburndrum/decision/traffic/backendlist.h"
#include "auburndrum/decision/traffic/brittleservers.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/namedweights.h"
#include "auburndrum/decision/traffic/promptcacheestimate.h"
#include "auburndrum/decision/traffic/promptlookup.h"
#include "auburndrum/decision/traffic/serverlimits.h"
#include "auburndrum/decision/traffic/serverpauses.h"
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

/// Load that a backend server reported with a response; it counts the requests of all entry VMs.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Options of a ServerChooser.
struct ServerChooserOptions
{
    std::string zone; ///< zone of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    /// Extra cost of a server in another zone of the region: the round trip, a few milliseconds.
    std::chrono::microseconds crossZoneCost{3000};
    std::chrono::microseconds crossRegionCost{25000}; ///< extra cost of a server in another region
    std::chrono::milliseconds maxReportAge{2000}; ///< older load reports are ignored
    std::chrono::milliseconds refusalBackoff{200}; ///< a server that refused because it was full gets no new requests for this time
    /// Extra cost of outdated weights: a request on them earns a fifth less, and a wait that makes it late costs more than that.
    std::chrono::milliseconds outdatedWeightsCost{250};
    std::chrono::milliseconds outdatedWeightsGrace{5000}; ///< once newer weights were named, servers with older ones get new requests for this time
    /// Gain of a request to a server whose limit nobody has heard of lately: it shows whether the limit has ended.
    std::chrono::milliseconds limitConfirmationGain{500};
    double initialPrefillRate = 30; ///< prompt tokens per millisecond that an engine is assumed to prefill before the first sample
    double promptCacheShare = 0.6; ///< share of an engine's memory that is assumed to hold cached prompts
};

/// What the choice of a server depends on for one request.
struct ServerQuery
{
    std::string_view service;
    const Prompt *prompt = nullptr; ///< null for plain services
    std::string_view organisation; ///< organisation with a private cache; empty for all others
    std::string_view spreadKey; ///< hash key of requests without a prompt; may be empty
    const NamedWeights *namedWeights = nullptr; ///< named weights of the prompt's model; null when none were named
    std::optional<Instant> suspendAwareTime; ///< present time on the clock of named weights and limits; empty when it is the chooser's clock
    std::string_view softwareVersion; ///< the only version that may take the request; empty: any
    std::vector<std::string> triedServers; ///< servers that this request was already sent to
};

/// The server chosen for a request, and the estimates behind the choice.
struct ServerChoice
{
    std::string id;
    std::string address;
    WallTime startedAt{}; ///< start of its incarnation
    std::string softwareVersion;
    std::optional<double> limitPerSecond; ///< the limit that it has named; this VM has a permit for the request
    std::chrono::microseconds expectedWait{}; ///< until the prompt is prefilled, or a slot is free for a plain request
    std::chrono::microseconds idlePrefill{}; ///< time that an idle engine would take to prefill what is not cached there
    std::uint32_t memoryTokens = 0; ///< engine memory that the request uses while it runs
    std::uint32_t uncachedTokens = 0; ///< prompt tokens that are probably not cached there
    std::uint32_t runningRequests = 0; ///< requests at the server: this process's own, and others by its load report
    std::chrono::milliseconds reportAge{-1}; ///< age of its load report; negative when it has reported no load
    std::chrono::milliseconds entryAge{}; ///< time since its entry in the list changed
    std::uint64_t weightVersion = 0; ///< weight version of the prompt's model there; 0 when unknown
    std::chrono::milliseconds weightsReplacedFor{-1}; ///< time since newer weights were named; negative when these are the newest
    std::string zone;
    std::string cacheScope; ///< scope of its cached prompt parts; empty for plain services
    std::vector<std::string> partSources; ///< store address to fetch each prompt part from; empty for none
};

/// Why no server could be chosen. When servers were rejected for different reasons, the last of these in this order is reported.
enum class NoServerReason : std::uint8_t {
    NoneListed, ///< the service has no server that accepts requests
    OtherSoftware, ///< only servers of other software versions than the one that began the stream
    AllTried,
    AllLeaving, ///< only servers that say that they leave
    AllLimited, ///< only servers that have named a limit, and this VM has no permit for any of them
    AllResting, ///< only servers that want no requests for a while
    AllWithoutRoom, ///< only brittle servers that would probably turn the request away
    AllFailing, ///< only servers that fail or don't respond
    AllFull,
    AllLoadingWeights, ///< only servers that are loading weights
    OutdatedWeights, ///< only servers whose weights are outdated beyond the grace period
};

const char *toText(NoServerReason reason);

/// @brief Chooses the backend server of each request, from the server list, load reports and the requests that this process sent.
///
/// Requests with the same affinity key prefer the same server, by rendezvous hash, so that entry VMs agree without a message. The choice is the
/// least estimated time, from load, network distance and cached prompt parts. Not thread-safe.
class ServerChooser
{
public:
    ServerChooser(ServerChooserOptions options,
                  const BackendList &servers,
                  const StoredPrompts &storedPrompts,
                  const ServerLimits &limits,
                  const ServerPauses &pauses,
                  const BrittleServers &brittle);

    void configure(const Configuration &configuration);
    void setOutdatedWeightsGrace(std::chrono::milliseconds limit);

    /// The server for this request; when there is none, `reason` says why.
    std::optional<ServerChoice> choose(const ServerQuery &query, Instant now, NoServerReason &reason) const;

    /// A request was sent; `prompt` is null for plain services.
    void onSent(const ServerChoice &choice, const Prompt *prompt, Instant now);
    /// The first event or the complete response arrived, `elapsed` after the request was sent.
    void onFirstEvent(const ServerChoice &choice, std::chrono::microseconds elapsed, Instant now);
    /// The request no longer uses the server. `hadAnswer`: onFirstEvent() was called for it.
    void onFinished(const ServerChoice &choice, bool hadAnswer, std::chrono::microseconds elapsed);

    void onLoadReport(std::string_view id, const LoadReport &load, Instant now);
    void recordSuccess(std::string_view id);
    void recordFailure(std::string_view id, Instant now, absl::BitGenRef random);
    /// No connection to the server could be opened.
    void recordUnreachable(std::string_view id, Instant now, absl::BitGenRef random);
    /// Forgets the failures of all servers, which were this VM's own.
    void clearFailures();
    /// The server refused a request without running it.
    void onRefused(std::string_view id, Instant now);
    /// The server loads weights of this version and refuses requests until it is done, or until `until`.
    void setLoading(std::string_view id, Instant until, std::uint64_t version);
    /// Discards the state of a server that was removed or restarted.
    void forget(std::string_view id);

    std::uint32_t ownRequests(std::string_view id) const;
    /// When the server last responded to this process; nothing before its first response.
    std::optional<Instant> lastAnswerAt(std::string_view id) const;

private:
    struct Load
    {
        std::uint32_t ownRequests = 0; ///< requests of this process at the server
        double ownUncachedTokens = 0; ///< uncached prompt tokens of this process's requests that have no first event yet
        double ownMemoryTokens = 0; ///< engine memory that this process's requests use
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
    /// What is expected of a request at one server.
    struct Estimate
    {
        std::chrono::microseconds expectedWait{};
        std::uint32_t runningRequests = 0;
        std::uint32_t uncachedTokens = 0;
        std::chrono::milliseconds reportAge{-1};
        std::uint64_t weightVersion = 0;
        const PromptLookup::Scope *scope = nullptr; ///< null for plain services
    };

    /// `lookup` is null for plain services.
    Estimate assess(const ServerQuery &query, const BackendList::Entry &entry, bool isPreferred, PromptLookup *lookup, Instant now) const;
    ServerChoice choiceOf(const ServerQuery &query, const BackendList::Entry &entry, const Estimate &estimate, Instant now) const;
    /// Whether a part is fetched from its source rather than prefilled.
    bool isFetched(const std::optional<StoredPromptSource> &source, std::uint32_t tokens) const;
    /// How long a request waits until the engine's memory has free capacity for it.
    std::chrono::microseconds memoryWait(const BackendList::Entry &entry, const Load &load, std::uint32_t others, std::uint32_t need) const;
    /// Milliseconds that the engine needs to fetch and prefill the prompt. Sets `estimate.uncachedTokens`.
    double prefillTime(const Prompt &prompt, const Load &load, bool isPreferred, Estimate &estimate) const;
    /// The newest weights of the prompt's model that a server of the service has.
    std::uint64_t newestLoadedWeights(const ServerQuery &query) const;
    bool areWeightsPastGrace(const ServerQuery &query, std::uint64_t version, std::uint64_t newestLoaded, Instant now) const;
    std::chrono::microseconds networkCost(const std::string &zone) const;

    ServerChooserOptions m_options;
    const BackendList &m_servers;
    const StoredPrompts &m_storedPrompts;
    const ServerLimits &m_limits;
    const ServerPauses &m_pauses;
    const BrittleServers &m_brittle;
    std::map<std::string, EngineTraits, std::less<>> m_engines; ///< by service
    StringMap<Load> m_loads; ///< by server
    double m_prefillRate; ///< prompt tokens per millisecond
    double m_meanMemoryTokens = 4000; ///< moving mean of the tokens of memory that a request uses; starts at a common prompt's
    std::chrono::microseconds m_meanResidence{1000000}; ///< moving mean of the time that a request stays at an engine
    std::chrono::microseconds m_meanPlainTime{50000}; ///< moving mean of a plain request's response time; starts at a common value
};

} // namespace auburndrum::decision
