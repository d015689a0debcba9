#include "auburndrum/decision/traffic/serverchooser.h"

#include "auburndrum/decision/traffic/cachescope.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

using std::chrono::microseconds;

constexpr double LearnShare = 0.05; // weight of one more observation in a moving mean
constexpr double RunningCostTokens = 150; // a running request slows the others by about this much reading
constexpr double MeanWaitingTokens = 2000; // of a request that waits at an engine, whose size nobody tells
constexpr std::uint32_t MinLearnTokens = 2000; // smaller prompts measure the way, not the reading

std::uint64_t rank(std::string_view server, std::string_view key)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

const char *toText(NoServerReason reason)
{
    switch (reason) {
    case NoServerReason::NoneListed:
        return "no server";
    case NoServerReason::AllTried:
        return "all servers tried";
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

ServerChooser::ServerChooser(ServerChooserOptions options, const BackendList &servers, const StoredPrompts &kept)
    : m_options(std::move(options))
    , m_servers(servers)
    , m_storedPrompts(kept)
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

ServerChoice ServerChooser::assess(const ServerQuery &query, const BackendList::Entry &entry, bool isHome, Instant now) const
{
    static const Load unknown;
    const Load *known = findLoad(entry.server.id);
    const Load &load = known == nullptr ? unknown : *known;

    ServerChoice choice;
    choice.id = entry.server.id;
    choice.address = entry.server.address;
    choice.zone = entry.server.zone;
    choice.entryAge = std::chrono::floor<std::chrono::milliseconds>(now - entry.changedAt);
    std::uint32_t others = 0;
    std::uint32_t waiting = 0;
    if (load.reportedAt) {
        choice.reportAge = std::chrono::floor<std::chrono::milliseconds>(now - *load.reportedAt);
        if (choice.reportAge < m_options.maxReportAge) {
            others = load.report.running + load.report.waiting - std::min(load.report.running + load.report.waiting, load.ownRequestsAtReport);
            waiting = load.report.waiting;
        }
    }
    choice.runningRequests = load.ownRequests + others;
    if (query.prompt == nullptr) {
        const std::uint32_t slots = std::max<std::uint32_t>(1, entry.server.parallelRequests);
        const double turns = static_cast<double>(choice.runningRequests) / slots;
        // Part of a turn already costs: some servers slow down when nearly full.
        choice.expectedWait = std::chrono::floor<microseconds>(m_meanPlainTime * (turns < 1 ? turns * turns * 0.5 : turns - 0.5));
        return choice;
    }
    const auto version = entry.server.weightVersions.find(query.prompt->model);
    choice.weightVersion = version == entry.server.weightVersions.end() ? 0 : version->second;
    choice.cacheScope = cacheScope(query.prompt->model, choice.weightVersion, query.organisation);
    const double readMs = prefillTime(query, entry, load, isHome, choice);
    const double aheadTokens = load.ownUncachedTokens + waiting * MeanWaitingTokens + choice.runningRequests * RunningCostTokens;
    choice.memoryTokens = query.prompt->inputTokens + query.prompt->maxOutputTokens;
    choice.expectedWait
        = microseconds(static_cast<std::int64_t>((aheadTokens / m_prefillRate + readMs) * 1000)) + memoryWait(entry, load, others, choice.memoryTokens);
    return choice;
}

bool ServerChooser::areWeightsPastGrace(const ServerQuery &query, std::uint64_t version, Instant now) const
{
    const auto replacedSince = query.namedWeights->replacedSince(version);
    if (!replacedSince) {
        return false;
    }
    if (now - *replacedSince >= m_options.outdatedWeightsGrace) {
        return true;
    }
    if (!query.namedWeights->wasReplacedBeforeStart(version)) {
        return false;
    }
    // Named before this process started. That some server has newer weights already shows that it was a while ago.
    for (const BackendList::Entry *it : m_servers.findByService(query.service)) {
        const auto has = it->server.weightVersions.find(query.prompt->model);
        if (has != it->server.weightVersions.end() && has->second > version) {
            return true;
        }
    }
    return false;
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
    // Requests leave the memory in the order of their coming: it frees its tokens once in the time that one stays.
    const double turns = missing / std::min(used, memory);
    return microseconds(static_cast<std::int64_t>(static_cast<double>(m_meanResidence.count()) * turns));
}

double ServerChooser::prefillTime(const ServerQuery &query, const BackendList::Entry &entry, const Load &load, bool isHome, ServerChoice &choice) const
{
    const Prompt &prompt = *query.prompt;
    const auto engine = m_engines.find(entry.server.service);
    const std::uint32_t tokenBytes = engine == m_engines.end() ? 0 : engine->second.bytesPerToken;
    std::uint32_t cached = load.promptCache.cachedTokens(choice.cacheScope, prompt);
    if (isHome && prompt.parts.size() > 1) {
        // Other entry VMs send the same parts there.
        cached = std::max(cached, prompt.inputTokens - std::min(prompt.inputTokens, prompt.parts.back().tokens));
    }
    double ms = 0;
    std::uint32_t seen = 0;
    std::uint32_t unread = prompt.inputTokens;
    choice.partSources.resize(prompt.parts.size());
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        const PromptPart &part = prompt.parts[n];
        const bool isCached = seen + part.tokens <= cached;
        seen += part.tokens;
        // The engine asks a source only for what it does not have, so naming one costs nothing.
        const auto source = choice.weightVersion == 0 ? std::nullopt : m_storedPrompts.findSource(choice.cacheScope, part, entry.server.zone, tokenBytes);
        const double readMs = part.tokens / m_prefillRate;
        const double fetchMs = source ? std::chrono::duration<double, std::milli>(source->fetchTime).count() : readMs;
        if (source && fetchMs < readMs) {
            choice.partSources[n] = source->address;
        }
        if (isCached || !choice.partSources[n].empty()) {
            unread -= std::min(unread, part.tokens);
            ms += isCached ? 0 : fetchMs;
        }
    }
    choice.uncachedTokens = unread;
    return ms + unread / m_prefillRate;
}

std::optional<ServerChoice> ServerChooser::choose(const ServerQuery &query, Instant now, NoServerReason &reason) const
{
    reason = NoServerReason::NoneListed;
    const std::string_view key = query.prompt != nullptr ? std::string_view(affinityKey(*query.prompt)) : query.spreadKey;
    std::vector<const BackendList::Entry *> candidates;
    const BackendList::Entry *home = nullptr;
    for (const BackendList::Entry *it : m_servers.findByService(query.service)) {
        if (!BackendList::acceptsRequests(*it)) {
            continue;
        }
        if (std::find(query.triedServers.begin(), query.triedServers.end(), it->server.id) != query.triedServers.end()) {
            reason = std::max(reason, NoServerReason::AllTried);
            continue;
        }
        const Load *load = findLoad(it->server.id);
        if (load != nullptr && !load->breaker.mayTry(now)) {
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
        candidates.push_back(it);
        if (home == nullptr || rank(it->server.id, key) > rank(home->server.id, key)) {
            home = it;
        }
    }
    std::optional<ServerChoice> best;
    microseconds bestCost{};
    for (const BackendList::Entry *it : candidates) {
        const ServerChoice choice = assess(query, *it, query.prompt != nullptr && it == home, now);
        // It would begin only after its wait.
        if (query.namedWeights != nullptr && areWeightsPastGrace(query, choice.weightVersion, now + choice.expectedWait)) {
            reason = std::max(reason, NoServerReason::OutdatedWeights);
            continue;
        }
        microseconds cost = choice.expectedWait + networkCost(it->server.zone);
        if (query.namedWeights != nullptr && choice.weightVersion < query.namedWeights->newestVersion()) {
            cost += m_options.outdatedWeightsCost;
        }
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    }
    return best;
}

void ServerChooser::onSent(const ServerChoice &choice, const Prompt *prompt, Instant now)
{
    Load &it = loadOf(choice.id);
    ++it.ownRequests;
    it.breaker.began(now);
    if (prompt == nullptr) {
        return;
    }
    it.ownUncachedTokens += choice.uncachedTokens;
    it.ownMemoryTokens += choice.memoryTokens;
    m_meanMemoryTokens += (choice.memoryTokens - m_meanMemoryTokens) * LearnShare;
    const BackendList::Entry *entry = m_servers.find(choice.id);
    const auto engine = entry == nullptr ? m_engines.end() : m_engines.find(entry->server.service);
    if (engine != m_engines.end()) {
        it.promptCache.setCapacity(static_cast<std::uint64_t>(engine->second.memoryTokens * m_options.promptCacheShare));
    }
    it.promptCache.recordPrompt(choice.cacheScope, *prompt);
}

void ServerChooser::onFirstEvent(const ServerChoice &choice, microseconds elapsed, Instant now)
{
    if (m_servers.find(choice.id) == nullptr) {
        return; // gone meanwhile: nothing is kept of it
    }
    Load &it = loadOf(choice.id);
    it.answeredAt = now;
    it.ownUncachedTokens = std::max(0.0, it.ownUncachedTokens - choice.uncachedTokens);
    if (choice.uncachedTokens >= MinLearnTokens && elapsed.count() > 0) {
        const double rate = choice.uncachedTokens * 1000.0 / static_cast<double>(elapsed.count());
        m_prefillRate += (rate - m_prefillRate) * LearnShare;
    } else if (choice.uncachedTokens == 0) {
        m_meanPlainTime += std::chrono::floor<microseconds>((elapsed - m_meanPlainTime) * LearnShare);
    }
}

void ServerChooser::onFinished(const ServerChoice &choice, bool hadAnswer, microseconds elapsed)
{
    if (hadAnswer && choice.memoryTokens > 0) {
        m_meanResidence += std::chrono::floor<microseconds>((elapsed - m_meanResidence) * LearnShare);
    }
    const auto it = m_loads.find(choice.id);
    if (it == m_loads.end()) {
        return; // forgotten meanwhile
    }
    if (it->second.ownRequests > 0) {
        --it->second.ownRequests;
    }
    it->second.ownMemoryTokens = std::max(0.0, it->second.ownMemoryTokens - choice.memoryTokens);
    if (!hadAnswer) {
        it->second.ownUncachedTokens = std::max(0.0, it->second.ownUncachedTokens - choice.uncachedTokens);
    }
}

void ServerChooser::onLoadReport(std::string_view id, const LoadReport &report, Instant now)
{
    if (m_servers.find(id) == nullptr) {
        return;
    }
    Load &it = loadOf(id);
    it.report = report;
    it.ownRequestsAtReport = it.ownRequests;
    it.reportedAt = now;
}

void ServerChooser::recordSuccess(std::string_view id)
{
    if (m_servers.find(id) != nullptr) {
        loadOf(id).breaker.succeeded();
    }
}

void ServerChooser::recordFailure(std::string_view id, Instant now, absl::BitGenRef random)
{
    if (m_servers.find(id) != nullptr) {
        loadOf(id).breaker.failed(now, random);
    }
}

void ServerChooser::onRefused(std::string_view id, Instant now)
{
    if (m_servers.find(id) != nullptr) {
        loadOf(id).fullUntil = now + m_options.refusalBackoff;
    }
}

void ServerChooser::setLoading(std::string_view id, Instant until, std::uint64_t version)
{
    Load &it = loadOf(id);
    it.loadingUntil = until;
    it.loadingVersion = version;
}

void ServerChooser::forget(std::string_view id)
{
    const auto it = m_loads.find(id);
    if (it != m_loads.end()) {
        m_loads.erase(it);
    }
}

std::optional<Instant> ServerChooser::lastAnswerAt(std::string_view id) const
{
    const Load *it = findLoad(id);
    return it == nullptr ? std::nullopt : it->answeredAt;
}

std::uint32_t ServerChooser::ownRequests(std::string_view id) const
{
    const Load *it = findLoad(id);
    return it == nullptr ? 0 : it->ownRequests;
}

} // namespace auburndrum::decision
