#include "auburndrum/gateway/promptstorereader.h"

#include "auburndrum/decision/traffic/cachescope.h"
#include "guarded.h"

#include <algorithm>

namespace auburndrum::gateway {

PromptStoreReader::PromptStoreReader(
    PromptStoreReaderOptions options, GatewayState &state, const EngineControl &engines, PromptStoreReaderHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(options)
    , m_state(state)
    , m_engines(engines)
    , m_hooks(std::move(hooks))
{
    connect(&m_freeTimer, &QTimer::timeout, this, &PromptStoreReader::freeOutdatedParts);
}

void PromptStoreReader::configure()
{
    const std::vector<std::string> addresses = m_state.storedPrompts.addresses();
    std::erase_if(m_stores, [&](const auto &it) {
        return std::find(addresses.begin(), addresses.end(), it.first) == addresses.end();
    });
    for (const std::string &it : addresses) {
        const auto [followed, isNew] = m_stores.try_emplace(it);
        if (!isNew) {
            continue;
        }
        followed->second.generation = ++m_lastGeneration;
        if (m_isPolling) {
            pollChanges(it);
        }
    }
    if (!m_stores.empty() && !m_freeTimer.isActive()) {
        m_freeTimer.start(m_options.freeCheckInterval);
    }
}

void PromptStoreReader::setPolling(bool isPolling)
{
    if (m_isPolling == isPolling) {
        return;
    }
    m_isPolling = isPolling;
    for (auto &[address, followed] : m_stores) {
        followed.generation = ++m_lastGeneration; // responses to polls in progress are dropped
        followed.busyDelay = std::chrono::milliseconds(0);
        if (isPolling) {
            pollChanges(address);
        }
    }
}

void PromptStoreReader::applyLogEntry(const PromptStoreLogEntry &entry)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::PromptStores);
    const auto it = m_stores.find(entry.address);
    if (it == m_stores.end() || m_isPolling) {
        return; // the store is not configured, or this VM reads it itself and has newer data
    }
    if (!entry.update) {
        m_state.storedPrompts.markUnreachable(entry.address);
        return;
    }
    it->second.incarnation = entry.update->incarnation;
    it->second.nextChange = entry.update->nextChange;
    m_state.storedPrompts.applyUpdate(entry.address, *entry.update);
}

void PromptStoreReader::pollChanges(const std::string &address)
{
    const auto followed = m_stores.find(address);
    if (followed == m_stores.end()) {
        return;
    }
    const std::uint64_t generation = followed->second.generation;
    followed->second.polledAt = monotonicNow();
    m_engines.readStoreChanges(
        address, followed->second.nextChange, m_options.longPollTimeout, guarded(this, [this, address, generation](const PromptStoreResult &result) {
            handleResult(address, generation, result);
        }));
}

void PromptStoreReader::readContents(const std::string &address)
{
    const std::uint64_t generation = m_stores.at(address).generation;
    m_engines.readStoreContents(address, guarded(this, [this, address, generation](const PromptStoreResult &result) {
                                    handleResult(address, generation, result);
                                }));
}

void PromptStoreReader::handleResult(const std::string &address, std::uint64_t generation, const PromptStoreResult &result)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::PromptStores);
    const auto it = m_stores.find(address);
    if (it == m_stores.end() || it->second.generation != generation) {
        return;
    }
    FollowedStore &followed = it->second;
    if (!result) {
        m_state.storedPrompts.markUnreachable(address);
        if (m_hooks.onUnreachable) {
            m_hooks.onUnreachable(address);
        }
        scheduleRetry(address, followed, result.error());
        return;
    }
    const decision::PromptStoreUpdate *update = &result.value();
    followed.busyDelay = std::chrono::milliseconds(0);
    if (followed.isUnreachable) {
        followed.isUnreachable = false;
        m_state.log.write(LinePriority::Notable, "dependency_regained", {{"dependency", "prompt store"}, {"address", address}});
    }
    const bool isOtherIncarnation = followed.incarnation != 0 && followed.incarnation != update->incarnation;
    followed.incarnation = update->incarnation;
    if (!update->isSnapshot && (update->hasGap || isOtherIncarnation)) {
        m_state.storedPrompts.markUnreachable(address); // until its complete contents are read again
        readContents(address);
        return;
    }
    followed.nextChange = update->nextChange;
    m_state.storedPrompts.applyUpdate(address, *update);
    if (m_hooks.onUpdate) {
        m_hooks.onUpdate(address, *update);
    }
    const auto sincePoll = std::chrono::floor<std::chrono::milliseconds>(monotonicNow() - followed.polledAt);
    const auto interval
        = std::max<std::chrono::milliseconds>(m_options.pollInterval, m_options.pollIntervalPerStore * static_cast<std::int64_t>(m_stores.size()));
    schedulePoll(address, std::max(interval - sincePoll, std::chrono::milliseconds(0)));
}

void PromptStoreReader::schedulePoll(const std::string &address, std::chrono::milliseconds delay)
{
    QTimer::singleShot(delay, this, [this, address, generation = m_stores.at(address).generation] {
        const auto it = m_stores.find(address);
        if (it != m_stores.end() && it->second.generation == generation) {
            pollChanges(address);
        }
    });
}

void PromptStoreReader::scheduleRetry(const std::string &address, FollowedStore &followed, PromptStoreError error)
{
    const bool isBusy = error == PromptStoreError::TooManyReaders;
    if (!followed.isUnreachable) {
        followed.isUnreachable = true;
        m_state.log.write(LinePriority::Notable,
                          "dependency_lost",
                          {{"dependency", "prompt store"}, {"address", address}, {"error", isBusy ? "too many readers" : "no answer"}});
    }
    auto delay = m_options.retryDelay;
    if (isBusy) {
        followed.busyDelay = std::clamp(followed.busyDelay * 2, m_options.busyRetryDelay, m_options.maxBusyRetryDelay);
        // A random delay, so that readers refused at the same time don't retry at the same time.
        delay = followed.busyDelay + std::chrono::milliseconds(absl::Uniform<std::int64_t>(m_state.random, 0, followed.busyDelay.count()));
    }
    schedulePoll(address, delay);
}

bool PromptStoreReader::hasOutdatedWeights(std::string_view scope) const
{
    for (const auto &[model, named] : m_state.weights) {
        const auto version = decision::weightVersionOfScope(scope, model);
        if (!version || *version >= named.newestVersion()) {
            continue;
        }
        // An engine that still has the outdated weights may be reading the part.
        for (const auto &[id, entry] : m_state.servers.entries()) {
            const auto has = entry.server.weightVersions.find(model);
            if (has != entry.server.weightVersions.end() && has->second <= *version) {
                return false;
            }
        }
        return true;
    }
    return false;
}

void PromptStoreReader::freeOutdatedParts()
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::PromptStores);
    if (!m_isPolling) {
        return; // the VMs that follow the stores free the parts
    }
    const Instant now = monotonicNow();
    const auto isFreeable = [this, now](std::string_view scope) {
        if (!hasOutdatedWeights(scope)) {
            return false;
        }
        const auto [since, isNew] = m_outdatedSince.try_emplace(std::string(scope), now);
        return now - since->second >= m_options.freeDelay;
    };
    for (const auto &[address, followed] : m_stores) {
        const auto parts = m_state.storedPrompts.staleParts(address, isFreeable, m_options.maxPartsPerFree);
        if (parts.empty() || followed.isUnreachable) {
            continue;
        }
        m_engines.freeStoredParts(
            address, followed.incarnation, parts, guarded(this, [this, address = address, parts, incarnation = followed.incarnation](bool isDone) {
                m_state.log.write(LinePriority::Notable, "old_prompts_freed", {{"address", address}, {"parts", parts.size()}, {"done", isDone}});
                if (!isDone) {
                    return;
                }
                // Some changes are never reported; without this, parts whose removal was missed would be freed repeatedly.
                m_state.storedPrompts.removeFreed(address, incarnation, parts);
                const auto it = m_stores.find(address);
                if (m_hooks.onUpdate && it != m_stores.end() && it->second.incarnation == incarnation) {
                    m_hooks.onUpdate(address, {.incarnation = incarnation, .nextChange = it->second.nextChange, .changes = parts});
                }
            }));
    }
}

} // namespace auburndrum::gateway
