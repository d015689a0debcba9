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

/// Kind of a change in a server's cache.
enum class CacheEventKind {
    Stored,
    Evicted,
    Cleared, ///< the server dropped all its keys
};

/// One change in a server's cache; the server numbers them without gaps.
struct CacheEvent
{
    std::uint64_t sequenceNumber = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    PieceKey key;
};

/// Number of leading pieces of a prompt that a server has cached.
struct PrefixDepth
{
    ServerId server;
    std::uint32_t pieces = 0;
};

using PrefixDepths = absl::InlinedVector<PrefixDepth, 8>;

/// Index of the pieces cached by each backend server, built from cache events. Soft state, bounded in memory. Not thread-safe.
///
/// Events may be late or lost. After a gap in the sequence numbers the server's view is out of sync: the server then counts
/// as holding nothing until resync() replaces the view.
class CacheIndex
{
public:
    explicit CacheIndex(std::size_t maxKeys = 1'000'000);

    /// Applies the events before sequence number @p nextSequenceNumber. Returns false when the view needs a resync.
    bool apply(ServerId server, std::uint64_t incarnation, std::span<const CacheEvent> events, std::uint64_t nextSequenceNumber);

    /// Replaces the view by the server's complete list of keys, which includes all events before sequence number @p nextSequenceNumber.
    void resync(ServerId server, std::uint64_t incarnation, std::span<const PieceKey> keys, std::uint64_t nextSequenceNumber);

    /// Records that @p server prefilled or imported @p keys, before its events arrive. Ignored while its view is out of sync.
    void noteStored(ServerId server, std::span<const PieceKey> keys);

    /// Records that @p server has only the first @p heldPieces of @p keys cached.
    void noteMissing(ServerId server, std::span<const PieceKey> keys, std::uint32_t heldPieces);

    void remove(ServerId server);

    /// True when the view of the server has no gap and needs no resync.
    bool isSynced(ServerId server) const;

    /// Servers that hold at least the first of @p keys, each with the number of leading keys that it holds.
    PrefixDepths prefixDepths(std::span<const PieceKey> keys);

    std::size_t size() const;

    /// Bytes allocated by the tables.
    std::size_t stateBytes() const;

private:
    // A view numbers one gap-free sequence of events of a server. Removing its number invalidates all its keys at once.
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

    View &startView(ServerId server, std::uint64_t incarnation, std::uint64_t nextSequenceNumber, bool synced);
    void addHolder(const PieceKey &key, ViewNumber view);
    void removeHolder(const PieceKey &key, ViewNumber view);
    void extendByHolders(const PackedKey &key, ViewNumber first, std::uint32_t piece, PrefixDepths &depths);
    void extendDepth(ViewNumber view, std::uint32_t piece, PrefixDepths &depths) const;
    bool isCurrentView(ViewNumber view) const;

    GenerationalMap<PackedKey, ViewNumber, PackedKeyHash> m_firstHolders; ///< one view that holds each key
    absl::flat_hash_map<PackedKey, FurtherHolders, PackedKeyHash> m_furtherHolders; ///< other views that hold the key
    absl::flat_hash_map<ServerId, View> m_viewOfServer;
    absl::flat_hash_map<ViewNumber, ServerId> m_serverOfView;
    ViewNumber m_lastViewNumber = NoView;
    std::size_t m_maxFurtherKeys;
};

} // namespace auburndrum::decision
