#include "auburndrum/decision/traffic/serverchooser.h"

#include <algorithm>

// What a ServerChooser learns from requests that it sent.

namespace auburndrum::decision {

namespace {

using std::chrono::microseconds;

constexpr double SmoothingFactor = 0.05; // weight of a new sample in a moving mean
constexpr std::uint32_t MinPrefillSampleTokens = 2000; // the response time of smaller prompts is mostly network time, not prefill

} // namespace

void ServerChooser::onSent(const ServerChoice &choice, const Prompt *prompt, Instant now)
{
    Load &it = loadOf(choice.id);
    ++it.ownRequests;
    it.breaker.onSent(now);
    if (prompt == nullptr) {
        return;
    }
    it.ownUncachedTokens += choice.uncachedTokens;
    it.ownMemoryTokens += choice.memoryTokens;
    m_meanMemoryTokens += (choice.memoryTokens - m_meanMemoryTokens) * SmoothingFactor;
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
        return; // removed meanwhile: no state is stored for it
    }
    Load &it = loadOf(choice.id);
    it.answeredAt = now;
    it.ownUncachedTokens = std::max(0.0, it.ownUncachedTokens - choice.uncachedTokens);
    if (choice.uncachedTokens >= MinPrefillSampleTokens && elapsed.count() > 0) {
        const double rate = choice.uncachedTokens * 1000.0 / static_cast<double>(elapsed.count());
        m_prefillRate += (rate - m_prefillRate) * SmoothingFactor;
    } else if (choice.uncachedTokens == 0) {
        m_meanPlainTime += std::chrono::floor<microseconds>((elapsed - m_meanPlainTime) * SmoothingFactor);
    }
}

void ServerChooser::onFinished(const ServerChoice &choice, bool hadAnswer, microseconds elapsed)
{
    if (hadAnswer && choice.memoryTokens > 0) {
        m_meanResidence += std::chrono::floor<microseconds>((elapsed - m_meanResidence) * SmoothingFactor);
    }
    const auto it = m_loads.find(choice.id);
    if (it == m_loads.end()) {
        return; // its state was discarded meanwhile
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
        loadOf(id).breaker.recordSuccess();
    }
}

void ServerChooser::recordFailure(std::string_view id, Instant now, absl::BitGenRef random)
{
    if (m_servers.find(id) != nullptr) {
        loadOf(id).breaker.recordFailure(now, random);
    }
}

void ServerChooser::recordUnreachable(std::string_view id, Instant now, absl::BitGenRef random)
{
    if (m_servers.find(id) != nullptr) {
        loadOf(id).breaker.recordUnreachable(now, random);
    }
}

void ServerChooser::clearFailures()
{
    for (auto &[id, it] : m_loads) {
        it.breaker.reset();
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
