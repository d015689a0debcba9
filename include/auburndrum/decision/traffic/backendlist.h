#pragma once

#include "auburndrum/base/time.h"

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

/// What a backend server says of itself.
struct BackendServer
{
    std::string id; ///< of one incarnation, unless it starts again under its old id
    std::string service;
    std::string address; ///< IP:PORT
    std::string zone;
    std::uint32_t parallelRequests = 1; ///< that it runs at once
    bool isDraining = false;
    std::map<std::string, std::uint64_t> weightVersions; ///< by model, of engines
    WallTime startedAt{}; ///< tells incarnations with one id apart

    bool operator==(const BackendServer &) const = default;
};

/// Why a change of the list was made, for the log.
enum class BackendChange : std::uint8_t {
    None,
    Added,
    Restarted, ///< same id, new incarnation: nothing of before holds
    Updated,
    Draining,
    Removed,
    Restored, ///< came back within the grace of an entry that lapsed in an outage
};

/// Options of a BackendList.
struct BackendListOptions
{
    /// How long an entry that lapsed while the store was away may still be used, as living servers renew theirs in that time.
    std::chrono::milliseconds expiryGrace{2000};
};

/// @brief The backend servers that may take requests.
///
/// A server that drains or was removed gets no new requests. Entries that lapsed during an outage of the store are the exception:
/// they stay usable for `lapseGrace` after its return, since living servers register again within that time.
class BackendList
{
public:
    struct Entry
    {
        BackendServer server;
        Instant changedAt; ///< when this process learned of the present state
        std::optional<Instant> expiredAt; ///< removed in an outage and still in its grace
    };

    explicit BackendList(const BackendListOptions &options = {});

    /// Takes a server's newest entry.
    BackendChange put(const BackendServer &server, Instant now);
    /// Takes the removal of an entry. `duringOutage`: the store was away since the entry was last confirmed.
    BackendChange remove(std::string_view id, Instant now, bool duringOutage);
    /// Drops entries whose grace is over; returns their ids.
    std::vector<std::string> removeExpired(Instant now);

    /// Null when it is unknown or gone.
    const Entry *find(std::string_view id) const;
    /// Whether it may get new requests.
    static bool acceptsRequests(const Entry &entry);
    /// All servers of a service, draining ones too, in the order of their ids.
    std::vector<const Entry *> findByService(std::string_view service) const;
    std::size_t size() const;
    std::vector<std::string> ids() const;

private:
    BackendListOptions m_options;
    std::map<std::string, Entry, std::less<>> m_entries;
};

const char *toText(BackendChange change);

} // namespace auburndrum::decision
