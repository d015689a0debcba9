#pragma once

#include "auburndrum/decision/exportpolicy.h"
#include "auburndrum/decision/packedkey.h"
#include "auburndrum/decision/storetable.h"
#include "eventloop.h"
#include "profile.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <vector>

namespace auburndrum::bench {

/// A store VM: a memory tier in front of a disk tier, each read in turn over a limited link.
class FakeStore
{
public:
    /// Told of each block committed (true) and evicted (false).
    using Listener = std::function<void(const decision::PieceKey &, std::uint32_t bytes, decision::StoreTier, bool stored)>;

    /// Picks blocks to evict from a sample; without it the least recently used goes.
    using Evictor = std::function<std::vector<std::size_t>(const std::vector<decision::BlockUsage> &, std::uint64_t bytesNeeded)>;

    FakeStore(EventLoop &loop, const Profile &profile, Listener listener, Evictor evictor);

    bool holds(const decision::PieceKey &key) const;

    /// Reads a block and returns when it has arrived; nothing when the store doesn't hold it.
    std::optional<Instant> read(const decision::PieceKey &key);

    /// Writes a block unless it is held or the write link is far behind. Commits later.
    void write(const decision::PieceKey &key, std::uint32_t bytes);

    void setFull(bool full);
    std::uint64_t freeBytes() const;

private:
    struct Block
    {
        std::uint32_t bytes = 0;
        std::uint32_t visits = 1;
        bool memory = true;
        Instant lastUsed{};
        std::list<decision::PieceKey>::iterator place; ///< in m_memory or m_disk, most recently used first
    };

    void commit(const decision::PieceKey &key, std::uint32_t bytes);
    void trim();
    void evictSample(std::uint64_t bytes);
    void evict(const decision::PieceKey &key);
    void toMemory(const decision::PieceKey &key, Block &block);

    EventLoop &m_loop;
    const Profile &m_profile;
    Listener m_listener;
    Evictor m_evictor;
    absl::flat_hash_map<decision::PackedKey, Block, decision::PackedKeyHash> m_blocks;
    std::list<decision::PieceKey> m_memory;
    std::list<decision::PieceKey> m_disk;
    std::vector<decision::PieceKey> m_known; ///< for sampling; holds evicted keys too until drawn
    std::mt19937_64 m_random{11};
    std::uint64_t m_memoryBytes = 0;
    std::uint64_t m_diskBytes = 0;
    Instant m_memoryFree{};
    Instant m_diskFree{};
    Instant m_writeFree{};
    bool m_full = false;
};

} // namespace auburndrum::bench
