#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/stringmap.h"
#include "auburndrum/decision/traffic/configuration.h"
#include "auburndrum/decision/traffic/prompt.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// A prompt part that a prompt store added or removed.
struct StoredPromptChange
{
    bool isStored = false; ///< false: the part was removed
    std::string scope;
    std::string part;
    std::uint32_t tokens = 0;
};

/// One response of a prompt store about its contents: a snapshot, or the changes since the last response.
struct PromptStoreUpdate
{
    std::uint64_t incarnation = 0; ///< changes when the store restarts, which empties it
    std::uint64_t nextChange = 0; ///< number of the next change to request
    bool isSnapshot = false; ///< `changes` lists the store's complete contents
    bool hasGap = false; ///< some changes were lost
    std::vector<StoredPromptChange> changes;
};

/// Options of StoredPrompts.
struct StoredPromptsOptions
{
    std::string zone; ///< zone of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    double crossZoneFactor = 2; ///< a transfer between two zones of a region takes this many times as long as within one
    /// A part is not sent to a store again within this time, since the store reports its arrival late.
    std::chrono::milliseconds resendDelay{3000};
    double maxFillRatio = 0.95; ///< share of a store's capacity to fill; several entry VMs send parts at once without coordination
};

/// Where a part can be fetched from, and how long the transfer takes on an idle link.
struct StoredPromptSource
{
    std::string address;
    std::chrono::microseconds fetchTime{};
};

/// @brief Which prompt parts the prompt stores hold completely, and which store to send further parts to.
///
/// Parts are fetched from a store only while its updates arrive. Not thread-safe.
class StoredPrompts
{
public:
    explicit StoredPrompts(StoredPromptsOptions options);

    /// Replaces the stores by those of a configuration; a store in both keeps its contents.
    void configure(const std::vector<PromptStoreTraits> &stores);
    std::vector<std::string> addresses() const;

    void applyUpdate(std::string_view address, const PromptStoreUpdate &update);
    /// Removes parts that this process freed in that incarnation of the store.
    void removeFreed(std::string_view address, std::uint64_t incarnation, const std::vector<StoredPromptChange> &parts);
    /// Updates of the store stopped arriving.
    void markUnreachable(std::string_view address);
    /// The store's known contents as one update; nothing while it is unreachable.
    std::optional<PromptStoreUpdate> snapshot(std::string_view address) const;

    /// The store that transfers the part fastest to an engine of `zone`. Only stores of its region: a transfer between regions takes ten
    /// times as long and blocks the store's link for all others.
    std::optional<StoredPromptSource> findSource(std::string_view scope, const PromptPart &part, std::string_view zone, std::uint32_t tokenBytes) const;
    /// The same for a part's partKey().
    std::optional<StoredPromptSource> findSource(std::uint64_t key, std::uint32_t tokens, std::string_view zone, std::uint32_t tokenBytes) const;
    /// The store to send the part to once an engine of `zone` has prefilled it; empty for none. Records the part as sent.
    std::string chooseStore(std::string_view scope, const PromptPart &part, std::string_view zone, Instant now);
    /// Up to `limit` parts of a store whose scope satisfies `isStale`.
    std::vector<StoredPromptChange> staleParts(std::string_view address, const std::function<bool(std::string_view scope)> &isStale, std::size_t limit) const;
    /// Tokens of all parts known to be in the store.
    std::uint64_t storedTokens(std::string_view address) const;

private:
    struct Store
    {
        PromptStoreTraits traits;
        bool isReachable = false;
        std::uint64_t incarnation = 0;
        std::uint64_t nextChange = 0; ///< number of the first change that was not received yet
        std::uint64_t tokens = 0;
        std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>> parts; ///< tokens by scope and part id
    };

    const std::string &regionOf(std::string_view zone) const;
    bool isSameRegion(std::string_view a, std::string_view b) const;
    void applyChange(Store &store, const StoredPromptChange &change);
    void addHolder(const Store &store, std::string_view scope, std::string_view part);
    void removeHolder(const Store &store, std::string_view scope, std::string_view part);
    void clearParts(Store &store);

    StoredPromptsOptions m_options;
    std::map<std::string, Store, std::less<>> m_stores; ///< by address
    absl::flat_hash_map<std::uint64_t, std::vector<const Store *>> m_holders; ///< stores that hold a part, by partKey()
    StringMap<Instant> m_recentSends; ///< time of the last send, by scope, part and region
};

} // namespace auburndrum::decision
