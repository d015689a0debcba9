#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/piecekey.h"
#include "auburndrum/decision/reuseintervals.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace auburndrum::decision {

/// What is known of one block that a store VM holds or might hold.
struct BlockUsage
{
    PieceKey key;
    std::uint32_t tokens = 0;
    std::uint64_t bytes = 0;
    std::uint32_t useCount = 1; ///< requests that used it
    Instant lastUsed{};
};

/// Rates that decide what a stored block saves.
struct ExportOptions
{
    double prefillTokensPerSecond = 8000;
    double storeBytesPerSecond = 500e6;
    std::chrono::nanoseconds reuseHorizon = std::chrono::hours(24); ///< how far ahead returns count
    double minReuseProbability = 0.05; ///< of a return, below which no block is exported
};

/// Seconds of computing that one stored byte is expected to save: chance of return, times what reading saves over
/// computing, by size. Zero when reading is no faster.
double savingPerByte(const BlockUsage &block, const ReuseIntervals &gaps, const ExportOptions &rates, Instant now);

/// True when @p block is worth its place: it is likely to return, and either there is room or it saves more per byte
/// than @p lowestStored, the least worthy block that would have to go.
bool shouldExport(const BlockUsage &block, const ReuseIntervals &gaps, const ExportOptions &rates, std::uint64_t freeBytes, double lowestStored, Instant now);

/// Picks the blocks with the least saving per byte until @p bytesNeeded are freed. Returns indexes into @p blocks.
std::vector<std::size_t> chooseEvictions(
    std::span<const BlockUsage> blocks, std::uint64_t bytesNeeded, const ReuseIntervals &gaps, const ExportOptions &rates, Instant now);

} // namespace auburndrum::decision
