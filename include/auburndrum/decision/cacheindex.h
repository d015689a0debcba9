#pragma once

#include "auburndrum/decision/generationalmap.h"
#include "auburndrum/decision/packedkey.h"
#include "auburndrum/decision/servertable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <span>
#include <vector>

namespace auburndrum::decision {

/// What a cache event says about a key.
enum class CacheEventKind {
    Stored,
    Evicted,
    Cleared, ///< all keys of the server are gone
};

/// One numbered event of a server's cache.
struct CacheEvent
{
    std::uint64_t sequenceNumber = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    PieceKey key;
};

/// How many leading pieces of a prompt a server holds.
struct PrefixDepth
{
    ServerId server;
    std::uint32_t pieces = 0;
};

using PrefixDepths = absl::InlinedVector<PrefixDepth, 8>;

/// Which backend server holds which piece, from cache events. Soft state, bounded in memory. Not thread-safe.
///
/// Events come late and with gaps. A gap in their numbers makes the server's view unknown: it then counts as holding
/// nothing until resync() replaces the view.
class CacheIndex
{
public:
    explicit CacheIndex(std::size_t maxKeys = 1'000'000);

    /// Applies a batch that ends before event number @p next. Returns false when the view needs a resync.
    bool apply(ServerId server, std::uint64_t incarnation, std::span<const CacheEvent> events, std::uint64_t next);

    /// Replaces the view by the server's whole list of keys, taken just before event number @p next.
    void resync(ServerId server, std::uint64_t incarnation, std::span<const PieceKey> keys, std::uint64_t next);

    /// Notes that @p server computed or imported @p keys, ahead of its events. Ignored while its view is unknown.
    void noteStored(ServerId server, std::span<const PieceKey> keys);

    /// Notes that @p server turned out to hold only the first @p heldPieces of @p keys.
    void noteMissing(ServerId server, std::span<const PieceKey> keys, std::uint32_t heldPieces);

    void remove(ServerId server);

    /// True when the server's view may be relied on.
    bool isSynced(ServerId server) const;

    /// Servers that hold a leading run of @p keys, with its length; those that hold none are left out.
    PrefixDepths prefixDepths(std::span<const PieceKey> keys);

    std::size_t size() const;

    /// Bytes held by the tables.
    std::size_t stateBytes() const;

private:
    // A view is one stretch of consistent knowledge about a server. Dropping its number forgets all its keys at once.
    using ViewNumber = std::uint32_t;
    static constexpr ViewNumber NoView = 0;

    struct View
    {
        ViewNumber number = NoView;
        std::uint64_t incarnation = 0;
        std::uint64_t nextSequenceNumber = 0;
        bool isSynced = false;
    };

    using FurtherHolders = absl::InlinedVector<ViewNumber, 4>;

    View &startView(ServerId server, std::uint64_t incarnation, std::uint64_t next, bool known);
    void addHolder(const PieceKey &key, ViewNumber view);
    void removeHolder(const PieceKey &key, ViewNumber view);
    void extendByHolders(const PackedKey &key, ViewNumber first, std::uint32_t piece, PrefixDepths &depths);
    void extendDepth(ViewNumber view, std::uint32_t piece, PrefixDepths &depths) const;
    bool isCurrentView(ViewNumber view) const;

    GenerationalMap<PackedKey, ViewNumber, PackedKeyHash> m_firstHolders; ///< one holder of each key
    absl::flat_hash_map<PackedKey, FurtherHolders, PackedKeyHash> m_furtherHolders; ///< further holders
    absl::flat_hash_map<ServerId, View> m_viewOfServer;
    absl::flat_hash_map<ViewNumber, ServerId> m_serverOfView;
    ViewNumber m_lastViewNumber = NoView;
    std::size_t m_maxFurtherKeys;
};

} // namespace auburndrum::decision
