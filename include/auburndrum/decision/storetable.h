#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/generationalmap.h"
#include "auburndrum/decision/packedkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Where a store VM keeps a block.
enum class StoreTier : std::uint8_t {
    Memory,
    Disk,
};

/// One committed block in a store VM.
struct StoredBlock
{
    std::uint64_t checksum = 0;
    std::uint32_t generation = 0;
    std::uint32_t length = 0; ///< bytes
    std::uint16_t store = 0; ///< index in StoreTable
    StoreTier tier = StoreTier::Memory;
};

/// Options of a StoreTable.
struct StoreTableOptions
{
    std::size_t maxBlocks = 200'000;
    double memoryBytesPerSecond = 500e6; ///< first guess, until reads teach better
    double diskBytesPerSecond = 100e6;
    std::chrono::nanoseconds readDelay = std::chrono::milliseconds(1); ///< manifest round trips of one read
    std::chrono::nanoseconds failurePause = std::chrono::seconds(5); ///< no reads from a store after a failed one
};

/// One store VM as this entry knows it.
struct Store
{
    std::string address;
    std::string zone;
    std::string region;
    double memoryBytesPerSecond = 0; ///< learned
    double diskBytesPerSecond = 0;
    std::uint64_t pendingBytes = 0; ///< own imports under way
    std::uint64_t freeBytes = 0;
    Instant pausedUntil{};
    bool present = false;
};

/// Store VMs and the blocks that their manifests list. Soft state: imports check the manifest again. Not thread-safe.
class StoreTable
{
public:
    explicit StoreTable(const StoreTableOptions &options = {});

    /// Adds a store VM or returns the known one's index.
    std::uint16_t put(std::string_view address, std::string_view zone, std::string_view region);

    /// Forgets a store VM and, with it, all its blocks.
    void remove(std::string_view address);

    /// Takes a committed block from a manifest; @p block names its store.
    void putBlock(const PieceKey &key, const StoredBlock &block);
    void removeBlock(const PieceKey &key);
    void setFreeBytes(std::string_view address, std::uint64_t bytes);

    /// Returns the block of @p key when its store is present and not paused at @p now.
    const StoredBlock *find(const PieceKey &key, Instant now);

    /// Predicts how long a read of @p bytes from @p block's store and tier takes, behind reads under way.
    std::chrono::nanoseconds predictedReadTime(const StoredBlock &block, std::uint64_t bytes) const;

    /// Counts a read as begun, and as ended after @p elapsed, from which the rate is learned.
    void onReadStarted(std::uint16_t store, std::uint64_t bytes);
    void onReadFinished(std::uint16_t store, StoreTier tier, std::uint64_t bytes, std::chrono::nanoseconds elapsed);

    /// Counts a read as failed: the store gets no reads for a pause.
    void onReadFailed(std::uint16_t store, std::uint64_t bytes, Instant now);

    const Store &at(std::uint16_t store) const;
    std::size_t blockCount() const;
    std::size_t stateBytes() const;

private:
    StoreTableOptions m_options;
    std::vector<Store> m_stores;
    GenerationalMap<PackedKey, StoredBlock, PackedKeyHash> m_blocks;
};

} // namespace auburndrum::decision
