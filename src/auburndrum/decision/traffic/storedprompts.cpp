#include "auburndrum/decision/traffic/storedprompts.h"

#include "auburndrum/decision/traffic/cachescope.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::size_t MaxRecentSends = 4096; // a few seconds of sends by a busy entry VM

std::uint64_t rank(std::string_view store, std::string_view part)
{
    return XXH3_64bits_withSeed(store.data(), store.size(), XXH3_64bits(part.data(), part.size()));
}

} // namespace

StoredPrompts::StoredPrompts(StoredPromptsOptions options)
    : m_options(std::move(options))
{
}

void StoredPrompts::configure(const std::vector<PromptStoreTraits> &stores)
{
    std::map<std::string, Store, std::less<>> next;
    for (const PromptStoreTraits &it : stores) {
        const auto known = m_stores.find(it.address);
        Store store = known == m_stores.end() ? Store{} : std::move(known->second);
        store.traits = it;
        next.emplace(it.address, std::move(store));
    }
    m_stores = std::move(next);
    m_holders.clear();
    for (const auto &[address, store] : m_stores) {
        for (const auto &[scope, parts] : store.parts) {
            for (const auto &[part, tokens] : parts) {
                addHolder(store, scope, part);
            }
        }
    }
}

void StoredPrompts::addHolder(const Store &store, std::string_view scope, std::string_view part)
{
    m_holders[partKey(scope, part)].push_back(&store);
}

void StoredPrompts::removeHolder(const Store &store, std::string_view scope, std::string_view part)
{
    const auto it = m_holders.find(partKey(scope, part));
    if (it == m_holders.end()) {
        return;
    }
    std::erase(it->second, &store);
    if (it->second.empty()) {
        m_holders.erase(it);
    }
}

void StoredPrompts::clearParts(Store &store)
{
    for (const auto &[scope, parts] : store.parts) {
        for (const auto &[part, tokens] : parts) {
            removeHolder(store, scope, part);
        }
    }
    store.parts.clear();
    store.tokens = 0;
}

std::vector<std::string> StoredPrompts::addresses() const
{
    std::vector<std::string> list;
    for (const auto &[address, store] : m_stores) {
        list.push_back(address);
    }
    return list;
}

void StoredPrompts::applyChange(Store &store, const StoredPromptChange &change)
{
    auto &scope = store.parts[change.scope];
    const auto known = scope.find(change.part);
    if (known != scope.end()) {
        store.tokens -= known->second;
        scope.erase(known);
        removeHolder(store, change.scope, change.part);
    }
    if (change.isStored) {
        scope[change.part] = change.tokens;
        store.tokens += change.tokens;
        addHolder(store, change.scope, change.part);
    }
    if (scope.empty()) {
        store.parts.erase(change.scope);
    }
}

void StoredPrompts::applyUpdate(std::string_view address, const PromptStoreUpdate &update)
{
    const auto it = m_stores.find(address);
    if (it == m_stores.end()) {
        return;
    }
    Store &store = it->second;
    if (store.incarnation != update.incarnation || update.isSnapshot) {
        clearParts(store);
        store.incarnation = update.incarnation;
    }
    store.isReachable = true;
    store.nextChange = update.nextChange;
    for (const StoredPromptChange &change : update.changes) {
        applyChange(store, change);
    }
}

void StoredPrompts::removeFreed(std::string_view address, std::uint64_t incarnation, const std::vector<StoredPromptChange> &parts)
{
    const auto it = m_stores.find(address);
    if (it == m_stores.end() || it->second.incarnation != incarnation) {
        return;
    }
    for (const StoredPromptChange &part : parts) {
        applyChange(it->second, {false, part.scope, part.part, 0});
    }
}

void StoredPrompts::markUnreachable(std::string_view address)
{
    const auto it = m_stores.find(address);
    if (it != m_stores.end()) {
        it->second.isReachable = false;
    }
}

std::optional<PromptStoreUpdate> StoredPrompts::snapshot(std::string_view address) const
{
    const auto it = m_stores.find(address);
    if (it == m_stores.end() || !it->second.isReachable) {
        return std::nullopt;
    }
    PromptStoreUpdate update;
    update.incarnation = it->second.incarnation;
    update.nextChange = it->second.nextChange;
    update.isSnapshot = true;
    for (const auto &[scope, parts] : it->second.parts) {
        for (const auto &[id, tokens] : parts) {
            update.changes.push_back({true, scope, id, tokens});
        }
    }
    return update;
}

const std::string &StoredPrompts::regionOf(std::string_view zone) const
{
    static const std::string unknown;
    const auto it = m_options.regionOfZone.find(zone);
    return it == m_options.regionOfZone.end() ? unknown : it->second;
}

bool StoredPrompts::isSameRegion(std::string_view a, std::string_view b) const
{
    return a == b || regionOf(a) == regionOf(b);
}

std::optional<StoredPromptSource> StoredPrompts::findSource(std::string_view scope,
                                                            const PromptPart &part,
                                                            std::string_view zone,
                                                            std::uint32_t tokenBytes) const
{
    return findSource(partKey(scope, part.id), part.tokens, zone, tokenBytes);
}

std::optional<StoredPromptSource> StoredPrompts::findSource(std::uint64_t key, std::uint32_t tokens, std::string_view zone, std::uint32_t tokenBytes) const
{
    std::optional<StoredPromptSource> best;
    const auto holders = m_holders.find(key);
    if (holders == m_holders.end()) {
        return best;
    }
    for (const Store *it : holders->second) {
        const Store &store = *it;
        if (!store.isReachable || store.traits.linkBitsPerSecond <= 0 || !isSameRegion(store.traits.zone, zone)) {
            continue;
        }
        const double bits = 8.0 * tokens * tokenBytes;
        const double seconds = bits / store.traits.linkBitsPerSecond * (store.traits.zone == zone ? 1.0 : m_options.crossZoneFactor);
        const auto time = store.traits.transferLatency + std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
        const bool isBetter = !best || time < best->fetchTime || (time == best->fetchTime && store.traits.address < best->address);
        if (isBetter) {
            best = StoredPromptSource{store.traits.address, time};
        }
    }
    return best;
}

std::string StoredPrompts::chooseStore(std::string_view scope, const PromptPart &part, std::string_view zone, Instant now)
{
    const std::string name = std::string(scope) + '/' + part.id + '@' + regionOf(zone);
    const auto sent = m_recentSends.find(name);
    if (sent != m_recentSends.end() && now - sent->second < m_options.resendDelay) {
        return {};
    }
    const auto holders = m_holders.find(partKey(scope, part.id));
    const bool isHeld = holders != m_holders.end() && std::any_of(holders->second.begin(), holders->second.end(), [&](const Store *it) {
                            return it->isReachable && isSameRegion(it->traits.zone, zone);
                        });
    if (isHeld) {
        return {};
    }
    const Store *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const auto &[address, store] : m_stores) {
        if (!store.isReachable || !isSameRegion(store.traits.zone, zone)) {
            continue;
        }
        const auto capacity = static_cast<std::uint64_t>(static_cast<double>(store.traits.capacityTokens) * m_options.maxFillRatio);
        if (store.tokens + part.tokens > capacity) {
            continue;
        }
        const std::uint64_t r = rank(address, part.id);
        if (best == nullptr || r > bestRank) {
            best = &store;
            bestRank = r;
        }
    }
    if (best == nullptr) {
        return {};
    }
    if (m_recentSends.size() >= MaxRecentSends) {
        m_recentSends.clear(); // at worst a part is sent twice
    }
    m_recentSends[name] = now;
    return best->traits.address;
}

std::vector<StoredPromptChange> StoredPrompts::staleParts(std::string_view address,
                                                          const std::function<bool(std::string_view)> &isStale,
                                                          std::size_t limit) const
{
    std::vector<StoredPromptChange> list;
    const auto it = m_stores.find(address);
    if (it == m_stores.end()) {
        return list;
    }
    for (const auto &[scope, parts] : it->second.parts) {
        if (!isStale(scope)) {
            continue;
        }
        for (const auto &[id, tokens] : parts) {
            if (list.size() >= limit) {
                return list;
            }
            list.push_back({false, scope, id, tokens});
        }
    }
    return list;
}

std::uint64_t StoredPrompts::storedTokens(std::string_view address) const
{
    const auto it = m_stores.find(address);
    return it == m_stores.end() ? 0 : it->second.tokens;
}

} // namespace auburndrum::decision
