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
struct KeptChange
{
    bool isKept = false; ///< false: the part is gone
    std::string scope;
    std::string part;
    std::uint32_t tokens = 0;
};

/// What a store of cached prompts holds, as one answer tells it.
struct KeptReport
{
    std::uint64_t incarnation = 0; ///< changes when the store starts again, empty
    std::uint64_t next = 0; ///< number of the change to ask for next
    bool isWhole = false; ///< `changes` are all that it holds, not news
    bool hasGap = false; ///< changes were lost
    std::vector<KeptChange> changes;
};

/// Options of KeptPrompts.
struct KeptPromptsOptions
{
    std::string zone; ///< of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    double zoneFactor = 2; ///< a transfer takes so many times as long between zones of a region, by the platform's page
    /// A part that was sent to a store is not sent again for so long, as its arrival is told late.
    std::chrono::milliseconds saveEcho{3000};
    double fillShare = 0.95; ///< of a store's room that saves may fill; several entry VMs save at once without asking each other
};

/// Where a part can be fetched from, and how long that takes when nothing else is under way.
struct KeptSource
{
    std::string address;
    std::chrono::microseconds time{};
};

/// @brief Which prompt parts the stores of cached prompts hold whole, and where to put further ones.
///
/// A store is read from only while its changes arrive. Not thread-safe.
class KeptPrompts
{
public:
    explicit KeptPrompts(KeptPromptsOptions options);

    /// Takes the stores of a configuration.
    void configure(const std::vector<PromptStoreTraits> &stores);
    std::vector<std::string> addresses() const;

    void take(std::string_view address, const KeptReport &report);
    /// Parts that this process had freed in that incarnation of the store.
    void forget(std::string_view address, std::uint64_t incarnation, const std::vector<KeptChange> &parts);
    /// Its changes stopped arriving.
    void lost(std::string_view address);
    /// All that is known of a store, as one whole report; nothing while it can't be read from.
    std::optional<KeptReport> report(std::string_view address) const;

    /// The quickest store for an engine of `zone` that has the part whole. Only stores of its region: between regions a transfer takes ten
    /// times as long and keeps the store's link from all others.
    std::optional<KeptSource> find(std::string_view scope, const PromptPart &part, std::string_view zone, std::uint32_t tokenBytes) const;
    /// The store to put the part in, when an engine of `zone` reads it; empty for none. Counts the part as sent.
    std::string placeFor(std::string_view scope, const PromptPart &part, std::string_view zone, Instant now);
    /// Parts under scopes that `isStale` names, by store; at most `limit` each.
    std::vector<KeptChange> stale(std::string_view address, const std::function<bool(std::string_view scope)> &isStale, std::size_t limit) const;
    /// Tokens known to be held by a store.
    std::uint64_t tokensAt(std::string_view address) const;

private:
    struct Store
    {
        PromptStoreTraits traits;
        bool isReachable = false;
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0; ///< number of its first change that is not known here
        std::uint64_t tokens = 0;
        std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> parts; ///< by scope and id
    };

    const std::string &regionOf(std::string_view zone) const;
    bool isSameRegion(std::string_view a, std::string_view b) const;
    static void keep(Store &store, const KeptChange &change);

    KeptPromptsOptions m_options;
    std::map<std::string, Store, std::less<>> m_stores; ///< by address
    StringMap<Instant> m_saves; ///< parts sent to a store a short while ago
};

} // namespace auburndrum::decision
