#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/stringmap.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/prompt.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// One change at a store of cached prompt parts.
struct StoredPromptChange
{
    bool isStored = false; ///< false: the part is gone
    std::string scope;
    std::string part;
    std::uint32_t tokens = 0;
};

/// What a store of cached prompts holds, as one answer tells it.
struct PromptStoreUpdate
{
    std::uint64_t incarnation = 0; ///< changes when the store starts again, empty
    std::uint64_t nextChange = 0; ///< number of the change to ask for next
    bool isSnapshot = false; ///< `changes` are all that it holds, not news
    bool hasGap = false; ///< changes were lost
    std::vector<StoredPromptChange> changes;
};

/// Options of KeptPrompts.
struct StoredPromptsOptions
{
    std::string zone; ///< of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    double crossZoneFactor = 2; ///< a transfer takes so many times as long between zones of a region, by the platform's page
    /// A part that was sent to a store is not sent again for so long, as its arrival is told late.
    std::chrono::milliseconds resendDelay{3000};
    double maxFillRatio = 0.95; ///< of a store's room that saves may fill; several entry VMs save at once without asking each other
};

/// Where a part can be fetched from, and how long that takes when nothing else is under way.
struct StoredPromptSource
{
    std::string address;
    std::chrono::microseconds fetchTime{};
};

/// @brief Which prompt parts the stores of cached prompts hold whole, and where to put further ones.
///
/// A store is read from only while its changes arrive. Not thread-safe.
class StoredPrompts
{
public:
    explicit StoredPrompts(StoredPromptsOptions options);

    /// Takes the stores of a configuration.
    void configure(const std::vector<PromptStoreTraits> &stores);
    std::vector<std::string> addresses() const;

    void applyUpdate(std::string_view address, const PromptStoreUpdate &report);
    /// Parts that this process had freed in that incarnation of the store.
    void removeFreed(std::string_view address, std::uint64_t incarnation, const std::vector<StoredPromptChange> &parts);
    /// Its changes stopped arriving.
    void markUnreachable(std::string_view address);
    /// All that is known of a store, as one whole report; nothing while it can't be read from.
    std::optional<PromptStoreUpdate> snapshot(std::string_view address) const;

    /// The quickest store for an engine of `zone` that has the part whole. Only stores of its region: between regions a transfer takes ten
    /// times as long and keeps the store's link from all others.
    std::optional<StoredPromptSource> findSource(std::string_view scope, const PromptPart &part, std::string_view zone, std::uint32_t tokenBytes) const;
    /// The store to put the part in, when an engine of `zone` reads it; empty for none. Counts the part as sent.
    std::string chooseStore(std::string_view scope, const PromptPart &part, std::string_view zone, Instant now);
    /// Parts under scopes that `isStale` names, by store; at most `limit` each.
    std::vector<StoredPromptChange> staleParts(std::string_view address, const std::function<bool(std::string_view scope)> &isStale, std::size_t limit) const;
    /// Tokens known to be held by a store.
    std::uint64_t storedTokens(std::string_view address) const;

private:
    struct Store
    {
        PromptStoreTraits traits;
        bool isReachable = false;
        std::uint64_t incarnation = 0;
        std::uint64_t nextChange = 0; ///< number of its first change that is not known here
        std::uint64_t tokens = 0;
        std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> parts; ///< by scope and id
    };

    const std::string &regionOf(std::string_view zone) const;
    bool isSameRegion(std::string_view a, std::string_view b) const;
    static void applyChange(Store &store, const StoredPromptChange &change);

    StoredPromptsOptions m_options;
    std::map<std::string, Store, std::less<>> m_stores; ///< by address
    StringMap<Instant> m_recentSends; ///< parts sent to a store a short while ago
};

} // namespace auburndrum::decision
