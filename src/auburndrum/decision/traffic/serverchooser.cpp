#include "auburndrum/decision/traffic/serverchooser.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

using std::chrono::microseconds;

constexpr double RunningCostTokens = 150; // each running request delays others about as much as the prefill of this many tokens
constexpr double MeanWaitingTokens = 2000; // assumed prompt size of a request that waits at an engine; load reports don't include it

std::uint64_t rank(std::string_view server, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), seed);
}

} // namespace

const char *toText(NoServerReason reason)
{
    switch (reason) {
    case NoServerReason::NoneListed:
        return "no server";
    case NoServerReason::OtherSoftware:
        return "no server of the software version";
    case NoServerReason::AllTried:
        return "all servers tried";
    case NoServerReason::AllLeaving:
        return "all servers leaving";
    case NoServerReason::AllLimited:
        return "all servers at their limits";
    case NoServerReason::AllResting:
        return "all servers resting";
    case NoServerReason::AllWithoutRoom:
        return "all servers without room";
    case NoServerReason::AllFailing:
        return "all servers failing";
    case NoServerReason::AllFull:
        return "all servers full";
    case NoServerReason::AllLoadingWeights:
        return "all servers load weights";
    case NoServerReason::OutdatedWeights:
        return "all servers have old weights";
    }
    return "unknown";
}

ServerChooser::ServerChooser(ServerChooserOptions options,
                             const BackendList &servers,
                             const StoredPrompts &storedPrompts,
                             const ServerLimits &limits,
                             const ServerPauses &pauses,
                             const BrittleServers &brittle)
    : m_options(std::move(options))
    , m_servers(servers)
    , m_storedPrompts(storedPrompts)
    , m_limits(limits)
    , m_pauses(pauses)
    , m_brittle(brittle)
    , m_prefillRate(m_options.initialPrefillRate)
{
}

void ServerChooser::configure(const Configuration &configuration)
{
    m_engines.clear();
    for (const auto &[name, service] : configuration.services) {
        if (service.engine) {
            m_engines[name] = *service.engine;
        }
    }
}

void ServerChooser::setOutdatedWeightsGrace(std::chrono::milliseconds limit)
{
    m_options.outdatedWeightsGrace = limit;
}

const ServerChooser::Load *ServerChooser::findLoad(std::string_view id) const
{
    const auto it = m_loads.find(id);
    return it == m_loads.end() ? nullptr : &it->second;
}

ServerChooser::Load &ServerChooser::loadOf(std::string_view id)
{
    const auto it = m_loads.find(id);
    return it == m_loads.end() ? m_loads[std::string(id)] : it->second;
}

microseconds ServerChooser::networkCost(const std::string &zone) const
{
    if (zone == m_options.zone) {
        return microseconds(0);
    }
    const auto here = m_options.regionOfZone.find(m_options.zone);
    const auto there = m_options.regionOfZone.find(zone);
    const bool isNear = here != m_options.regionOfZone.end() && there != m_options.regionOfZone.end() && here->second == there->second;
    return isNear ? m_options.crossZoneCost : m_options.crossRegionCost;
}

ServerChooser::Estimate ServerChooser::assess(
    const ServerQuery &query, const BackendList::Entry &entry, bool isPreferred, PromptLookup *lookup, Instant now) const
{
    static const Load unknown;
    const Load *known = findLoad(entry.server.id);
    const Load &load = known == nullptr ? unknown : *known;

    Estimate estimate;
    std::uint32_t others = 0;
    std::uint32_t waiting = 0;
    if (load.reportedAt) {
        estimate.reportAge = std::chrono::floor<std::chrono::milliseconds>(now - *load.reportedAt);
        if (estimate.reportAge < m_options.maxReportAge) {
            others = load.report.running + load.report.waiting - std::min(load.report.running + load.report.waiting, load.ownRequestsAtReport);
            waiting = load.report.waiting;
        }
    }
    estimate.runningRequests = load.ownRequests + others;
    if (lookup == nullptr) {
        const std::uint32_t slots = std::max<std::uint32_t>(1, entry.server.parallelRequests);
        const double utilization = static_cast<double>(estimate.runningRequests) / slots;
        // Utilization below 1 already costs: some servers slow down when nearly full.
        estimate.expectedWait = std::chrono::floor<microseconds>(m_meanPlainTime * (utilization < 1 ? utilization * utilization * 0.5 : utilization - 0.5));
        return estimate;
    }
    const auto version = entry.server.weightVersions.find(query.prompt->model);
    estimate.weightVersion = version == entry.server.weightVersions.end() ? 0 : version->second;
    estimate.scope = &lookup->find(estimate.weightVersion, entry.server.zone);
    const double prefillMs = prefillTime(*query.prompt, load, isPreferred, estimate);
    const double aheadTokens = load.ownUncachedTokens + waiting * MeanWaitingTokens + estimate.runningRequests * RunningCostTokens;
    const std::uint32_t memoryTokens = query.prompt->inputTokens + query.prompt->maxOutputTokens;
    estimate.expectedWait
        = microseconds(static_cast<std::int64_t>((aheadTokens / m_prefillRate + prefillMs) * 1000)) + memoryWait(entry, load, others, memoryTokens);
    return estimate;
}

ServerChoice ServerChooser::choiceOf(const ServerQuery &query, const BackendList::Entry &entry, const Estimate &estimate, Instant now) const
{
    ServerChoice choice;
    choice.id = entry.server.id;
    choice.address = entry.server.address;
    choice.startedAt = entry.server.startedAt;
    choice.softwareVersion = entry.server.softwareVersion;
    choice.limitPerSecond = m_limits.find(entry.server.id, entry.server.startedAt);
    choice.zone = entry.server.zone;
    choice.entryAge = std::chrono::floor<std::chrono::milliseconds>(now - entry.changedAt);
    choice.expectedWait = estimate.expectedWait;
    choice.runningRequests = estimate.runningRequests;
    choice.reportAge = estimate.reportAge;
    if (query.prompt == nullptr) {
        return choice;
    }
    choice.weightVersion = estimate.weightVersion;
    choice.uncachedTokens = estimate.uncachedTokens;
    choice.idlePrefill
        = microseconds(static_cast<std::int64_t>(estimate.uncachedTokens / m_options.initialPrefillRate * 1000)); // the learned rate includes waits
    choice.memoryTokens = query.prompt->inputTokens + query.prompt->maxOutputTokens;
    choice.cacheScope = estimate.scope->name;
    if (const auto since = query.namedWeights != nullptr ? query.namedWeights->replacedSince(choice.weightVersion) : std::nullopt) {
        choice.weightsReplacedFor = std::chrono::floor<std::chrono::milliseconds>(query.suspendAwareTime.value_or(now) - *since);
    }
    for (std::size_t n = 0; n < query.prompt->parts.size(); ++n) {
        const auto &source = estimate.scope->sources[n];
        choice.partSources.push_back(isFetched(source, query.prompt->parts[n].tokens) ? source->address : std::string());
    }
    return choice;
}

bool ServerChooser::isFetched(const std::optional<StoredPromptSource> &source, std::uint32_t tokens) const
{
    return source && std::chrono::duration<double, std::milli>(source->fetchTime).count() < tokens / m_prefillRate;
}

std::uint64_t ServerChooser::newestLoadedWeights(const ServerQuery &query) const
{
    std::uint64_t newest = 0;
    for (const BackendList::Entry *it : m_servers.findByService(query.service)) {
        const auto has = it->server.weightVersions.find(query.prompt->model);
        newest = has == it->server.weightVersions.end() ? newest : std::max(newest, has->second);
    }
    return newest;
}

bool ServerChooser::areWeightsPastGrace(const ServerQuery &query, std::uint64_t version, std::uint64_t newestLoaded, Instant now) const
{
    const auto replacedSince = query.namedWeights->replacedSince(version);
    if (!replacedSince) {
        return false;
    }
    if (now - *replacedSince >= m_options.outdatedWeightsGrace) {
        return true;
    }
    // The newer version was named before this process started. A server that already has newer weights shows that this was a while ago.
    return query.namedWeights->wasReplacedBeforeStart(version) && newestLoaded > version;
}

microseconds ServerChooser::memoryWait(const BackendList::Entry &entry, const Load &load, std::uint32_t others, std::uint32_t need) const
{
    const auto engine = m_engines.find(entry.server.service);
    if (engine == m_engines.end() || engine->second.memoryTokens == 0) {
        return microseconds(0);
    }
    const double used = load.ownMemoryTokens + others * m_meanMemoryTokens;
    const double memory = engine->second.memoryTokens;
    const double missing = used + need - memory;
    if (missing <= 0 || used <= 0) {
        return microseconds(0);
    }
    // Requests finish in order of arrival, so the engine frees all its tokens once per mean residence time.
    const double residences = missing / std::min(used, memory);
    return microseconds(static_cast<std::int64_t>(static_cast<double>(m_meanResidence.count()) * residences));
}

double ServerChooser::prefillTime(const Prompt &prompt, const Load &load, bool isPreferred, Estimate &estimate) const
{
    const PromptLookup::Scope &scope = *estimate.scope;
    std::uint32_t cached = load.promptCache.cachedTokens(scope.partKeys, prompt);
    if (isPreferred && prompt.parts.size() > 1) {
        // Other entry VMs send requests with the same parts to the preferred server.
        cached = std::max(cached, prompt.inputTokens - std::min(prompt.inputTokens, prompt.parts.back().tokens));
    }
    double ms = 0;
    std::uint32_t seen = 0;
    std::uint32_t uncached = prompt.inputTokens;
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        const std::uint32_t tokens = prompt.parts[n].tokens;
        seen += tokens;
        const bool isCached = seen <= cached;
        // The engine fetches from a source only what it does not have, so naming one costs nothing.
        const bool isAvailable = isFetched(scope.sources[n], tokens);
        if (isCached || isAvailable) {
            uncached -= std::min(uncached, tokens);
            ms += isCached ? 0 : std::chrono::duration<double, std::milli>(scope.sources[n]->fetchTime).count();
        }
    }
    estimate.uncachedTokens = uncached;
    return ms + uncached / m_prefillRate;
}

std::optional<ServerChoice> ServerChooser::choose(const ServerQuery &query, Instant now, NoServerReason &reason) const
{
    reason = NoServerReason::NoneListed;
    const std::string_view key = query.prompt != nullptr ? std::string_view(affinityKey(*query.prompt)) : query.spreadKey;
    const Instant suspendAwareTime = query.suspendAwareTime.value_or(now);
    std::vector<const BackendList::Entry *> candidates;
    std::vector<const BackendList::Entry *> leaving; // used only when there is no other
    for (const BackendList::Entry *it : m_servers.findByService(query.service)) {
        if (!BackendList::acceptsRequests(*it)) {
            continue;
        }
        if (!query.softwareVersion.empty() && it->server.softwareVersion != query.softwareVersion) {
            reason = std::max(reason, NoServerReason::OtherSoftware);
            continue;
        }
        if (std::find(query.triedServers.begin(), query.triedServers.end(), it->server.id) != query.triedServers.end()) {
            reason = std::max(reason, NoServerReason::AllTried);
            continue;
        }
        if (!m_limits.allows(it->server.id, it->server.startedAt, suspendAwareTime)) {
            reason = std::max(reason, NoServerReason::AllLimited);
            continue;
        }
        if (m_pauses.restLeft(it->server.id, it->server.startedAt, suspendAwareTime).count() > 0) {
            reason = std::max(reason, NoServerReason::AllResting);
            continue;
        }
        const Load *load = findLoad(it->server.id);
        if (!m_brittle.allows(query.service, it->server.id, it->server.startedAt, load == nullptr ? 0 : load->ownRequests, suspendAwareTime)) {
            reason = std::max(reason, NoServerReason::AllWithoutRoom);
            continue;
        }
        if (load != nullptr && !load->breaker.allowsRequest(now)) {
            reason = std::max(reason, NoServerReason::AllFailing);
            continue;
        }
        if (load != nullptr && load->fullUntil && now < *load->fullUntil) {
            reason = std::max(reason, NoServerReason::AllFull);
            continue;
        }
        if (query.prompt != nullptr && query.namedWeights != nullptr) {
            const auto version = it->server.weightVersions.find(query.prompt->model);
            const std::uint64_t has = version == it->server.weightVersions.end() ? 0 : version->second;
            if (load != nullptr && now < load->loadingUntil && has < load->loadingVersion) {
                reason = std::max(reason, NoServerReason::AllLoadingWeights);
                continue;
            }
        }
        if (!m_pauses.isLeaving(it->server.id, it->server.startedAt)) {
            candidates.push_back(it);
        } else if (m_pauses.mayUseLeaving(it->server.id, it->server.startedAt, suspendAwareTime)) {
            leaving.push_back(it);
        } else {
            reason = std::max(reason, NoServerReason::AllLeaving);
        }
    }
    if (candidates.empty()) {
        candidates = std::move(leaving);
    }
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    const auto preferred = std::max_element(candidates.begin(), candidates.end(), [seed](const auto *a, const auto *b) {
        return rank(a->server.id, seed) < rank(b->server.id, seed);
    });
    std::optional<PromptLookup> lookup;
    if (query.prompt != nullptr) {
        const auto engine = m_engines.find(query.service);
        lookup.emplace(m_storedPrompts, *query.prompt, query.organisation, engine == m_engines.end() ? 0 : engine->second.bytesPerToken);
    }
    const std::uint64_t newestLoaded = query.namedWeights != nullptr ? newestLoadedWeights(query) : 0;
    const BackendList::Entry *best = nullptr;
    Estimate bestEstimate;
    microseconds bestCost{};
    for (const BackendList::Entry *it : candidates) {
        const Estimate estimate = assess(query, *it, it == *preferred, lookup ? &*lookup : nullptr, now);
        // The request would begin only after its expected wait.
        if (query.namedWeights != nullptr && areWeightsPastGrace(query, estimate.weightVersion, newestLoaded, suspendAwareTime + estimate.expectedWait)) {
            reason = std::max(reason, NoServerReason::OutdatedWeights);
            continue;
        }
        microseconds cost = estimate.expectedWait + networkCost(it->server.zone);
        if (query.namedWeights != nullptr && estimate.weightVersion < query.namedWeights->newestVersion()) {
            cost += m_options.outdatedWeightsCost;
        }
        if (m_limits.awaitsConfirmation(it->server.id, it->server.startedAt, suspendAwareTime)) {
            cost -= m_options.limitConfirmationGain;
        }
        if (best == nullptr || cost < bestCost) {
            best = it;
            bestEstimate = estimate;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(choiceOf(query, *best, bestEstimate, now));
}

} // namespace auburndrum::decision
