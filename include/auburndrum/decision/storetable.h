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

/// Storage tier of a block in a store VM.
enum class StoreTier : std::uint8_t {
    Memory,
    Disk,
};

/// A committed block in a store VM.
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
    double memoryBytesPerSecond = 500e6; ///< assumed read rate until reads were measured
    double diskBytesPerSecond = 100e6;
    std::chrono::nanoseconds readDelay = std::chrono::milliseconds(1); ///< time of the manifest round trips of one read
    std::chrono::nanoseconds failurePause = std::chrono::seconds(5); ///< time without reads from a store after a failed read
};

/// State of one store VM as known to this entry VM.
struct Store
{
    std::string address;
    std::string zone;
    std::string region;
    double memoryBytesPerSecond = 0; ///< moving mean of measured reads
    double diskBytesPerSecond = 0;
    std::uint64_t pendingBytes = 0; ///< bytes of unfinished imports of this entry VM
    std::uint64_t freeBytes = 0;
    Instant pausedUntil{};
    bool present = false;
};

/// Store VMs and the blocks that their manifests list. Soft state: imports check the manifest again. Not thread-safe.
class StoreTable
{
public:
    explicit StoreTable(const StoreTableOptions &options = {});

    /// Adds a store VM, unless known, and returns its index.
    std::uint16_t put(std::string_view address, std::string_view zone, std::string_view region);

    /// Removes a store VM; its blocks are no longer found.
    void remove(std::string_view address);

    /// Adds a committed block listed by a manifest; @p block refers to its store.
    void putBlock(const PieceKey &key, const StoredBlock &block);
    void removeBlock(const PieceKey &key);
    void setFreeBytes(std::string_view address, std::uint64_t bytes);

    /// Returns the block of @p key when its store is present and not paused at @p now.
    const StoredBlock *find(const PieceKey &key, Instant now);

    /// Predicts how long a read of @p bytes from @p block's store and tier takes after the pending reads.
    std::chrono::nanoseconds predictedReadTime(const StoredBlock &block, std::uint64_t bytes) const;

    /// Records the start of a read, and its end after @p elapsed, which updates the read rate of the tier.
    void onReadStarted(std::uint16_t store, std::uint64_t bytes);
    void onReadFinished(std::uint16_t store, StoreTier tier, std::uint64_t bytes, std::chrono::nanoseconds elapsed);

    /// Records a failed read: the store is not used for StoreTableOptions::failurePause.
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
