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

/// A backend server's registration in the metadata store.
struct BackendServer
{
    std::string id; ///< usually new for each incarnation; a restart under the same id differs in `startedAt`
    std::string service;
    std::string address; ///< IP:PORT
    std::string zone;
    std::uint32_t parallelRequests = 1; ///< requests that it runs concurrently
    bool isDraining = false;
    std::string softwareVersion; ///< of the server's program; servers of several versions may serve side by side
    std::map<std::string, std::uint64_t> weightVersions; ///< loaded weight version by model; empty for plain servers
    WallTime startedAt{}; ///< start of this incarnation; distinguishes incarnations with the same id

    bool operator==(const BackendServer &) const = default;
};

/// Equal for two registrations that say the same.
std::uint64_t digestOf(const BackendServer &server);

/// What a registration record changed in the list, for the log.
enum class BackendChange : std::uint8_t {
    None,
    Added,
    Restarted, ///< same id, new incarnation: what was known of the previous one no longer applies
    Updated,
    Draining,
    Removed,
    Restored, ///< registered again within the grace period after its entry expired in an outage
};

/// Options of a BackendList.
struct BackendListOptions
{
    /// How long an entry that expired during an outage of the store stays usable; running servers renew theirs within that time.
    std::chrono::milliseconds expiryGrace{2000};
};

/// @brief The registered backend servers, draining ones included.
///
/// A server that drains or was removed gets no new requests. Entries that expired during an outage of the store are the exception:
/// they stay usable for `expiryGrace` after their removal was received, since running servers register again within that time.
class BackendList
{
public:
    struct Entry
    {
        BackendServer server;
        Instant changedAt; ///< when this process received the present registration
        std::optional<Instant> expiredAt; ///< when it expired in an outage; it is still within its grace period
    };

    explicit BackendList(const BackendListOptions &options = {});

    /// Applies a server's newest registration.
    BackendChange put(const BackendServer &server, Instant now);
    /// Applies the removal of an entry. `duringOutage`: the store was unavailable since the entry was last confirmed.
    BackendChange remove(std::string_view id, Instant now, bool duringOutage);
    /// Removes expired entries whose grace period is over; returns their ids.
    std::vector<std::string> removeExpired(Instant now);

    /// Null when the id is unknown or its entry was removed.
    const Entry *find(std::string_view id) const;
    /// Whether the server accepts new requests; a draining one doesn't.
    static bool acceptsRequests(const Entry &entry);
    /// All servers of a service, draining ones too, in the order of their ids.
    const std::vector<const Entry *> &findByService(std::string_view service) const;
    /// Whether a server of this version is listed, a draining one too.
    bool hasSoftwareVersion(std::string_view service, std::string_view version) const;
    std::size_t size() const;
    /// Changes whenever a server comes, goes or changes.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    std::vector<std::string> ids() const;
    /// All servers by id.
    const std::map<std::string, Entry, std::less<>> &entries() const
    {
        return m_entries;
    }

private:
    void index(const Entry &entry);
    void unindex(const Entry &entry);

    BackendListOptions m_options;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, std::vector<const Entry *>, std::less<>> m_byService; ///< sorted by id
    std::uint64_t m_revision = 0;
};

const char *toText(BackendChange change);

} // namespace auburndrum::decision
