#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/piecekey.h"
#include "auburndrum/decision/reuseintervals.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace auburndrum::decision {

/// Size and usage of a block that a store VM holds or could hold.
struct BlockUsage
{
    PieceKey key;
    std::uint32_t tokens = 0;
    std::uint64_t bytes = 0;
    std::uint32_t useCount = 1; ///< requests that used the block
    Instant lastUsed{};
};

/// Rates and thresholds that decide whether a block is stored.
struct ExportOptions
{
    double prefillTokensPerSecond = 8000;
    double storeBytesPerSecond = 500e6;
    std::chrono::nanoseconds reuseHorizon = std::chrono::hours(24); ///< only reuse within this time from now counts
    double minReuseProbability = 0.05; ///< blocks less likely to be reused are not exported
};

/// Seconds of prefill that one stored byte is expected to save: the probability of reuse, times the time that reading the
/// block saves over prefilling it, divided by its size. Zero when reading is no faster.
double savingPerByte(const BlockUsage &block, const ReuseIntervals &intervals, const ExportOptions &options, Instant now);

/// True when @p block is likely to be reused and either fits into @p freeBytes or saves more per byte than
/// @p lowestStored, the saving per byte of the block that would be evicted for it.
bool shouldExport(
    const BlockUsage &block, const ReuseIntervals &intervals, const ExportOptions &options, std::uint64_t freeBytes, double lowestStored, Instant now);

/// Chooses blocks in ascending order of saving per byte until @p bytesNeeded are freed. Returns indexes into @p blocks.
std::vector<std::size_t> chooseEvictions(
    std::span<const BlockUsage> blocks, std::uint64_t bytesNeeded, const ReuseIntervals &intervals, const ExportOptions &options, Instant now);

} // namespace auburndrum::decision
