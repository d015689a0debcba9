#pragma once

#include <boost/outcome.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::standins {

/// Sizes of the two tiers, in bytes.
struct BlockStoreOptions
{
    std::uint64_t memoryBytes = 256ULL << 20;
    std::uint64_t diskBytes = 4ULL << 30;
};

/// Where a block lies.
enum class BlockTier {
    Memory,
    Disk,
};

/// Returns the tier's wire name.
const char *tierName(BlockTier tier);

/// What the store knows of one block.
struct BlockManifest
{
    std::string key;
    std::string organisation;
    std::string version; ///< weight version that made the block
    std::uint64_t generation = 0; ///< rises with every write to the store
    std::uint64_t length = 0; ///< bytes
    std::string checksum; ///< XXH3-64 of the bytes, in hex, as the writer gave it
    bool committed = false;
    BlockTier tier = BlockTier::Memory;
};

/// Why a write was refused.
enum class StoreError {
    Full,
    WrongChecksum,
};

template<typename T>
using StoreResult = boost::outcome_v2::result<T, StoreError, boost::outcome_v2::policy::all_narrow>;

/// Returns the XXH3-64 of the bytes in 16 lower-case hex digits.
std::string blockChecksum(std::string_view bytes);

/// Blocks in memory and on disk. The least recently used ones move from memory to disk; nothing is dropped when both are full.
class BlockStore
{
public:
    explicit BlockStore(const BlockStoreOptions &options);

    /// Starts a write: the block replaces any older one of its key and stays uncommitted. Returns its generation.
    StoreResult<std::uint64_t> begin(BlockManifest manifest, std::string bytes);

    /// Commits the write of this generation; does nothing when a later one has replaced it.
    void commit(const std::string &key, std::uint64_t generation);

    std::optional<BlockManifest> manifest(const std::string &key) const;

    /// Returns the bytes and marks the block as just used.
    std::optional<std::string> read(const std::string &key);

    bool remove(const std::string &key);

    /// Returns the manifests written since this generation, oldest first.
    std::vector<BlockManifest> changedSince(std::uint64_t generation) const;

    std::uint64_t nextGeneration() const;
    std::uint64_t usedBytes(BlockTier tier) const;
    const BlockStoreOptions &options() const;

private:
    struct Block
    {
        BlockManifest manifest;
        std::string bytes;
        std::list<std::string>::iterator use; ///< place in m_memoryUse while in memory
    };

    void demoteUntilFits();

    BlockStoreOptions m_options;
    std::map<std::string, Block> m_blocks;
    std::list<std::string> m_memoryUse; ///< keys in memory, least recently used first
    std::uint64_t m_used[2] = {0, 0};
    std::uint64_t m_nextGeneration = 1;
};

} // namespace auburndrum::standins
