#include "auburndrum/decision/exportpolicy.h"

#include <algorithm>
#include <numeric>

namespace auburndrum::decision {

double savingPerByte(const BlockUsage &block, const ReuseIntervals &intervals, const ExportOptions &options, Instant now)
{
    if (block.bytes == 0) {
        return 0;
    }
    const double bytes = static_cast<double>(block.bytes);
    const double saved = block.tokens / options.prefillTokensPerSecond - bytes / options.storeBytesPerSecond;
    return std::max(saved, 0.0) * intervals.reuseProbability(now - block.lastUsed, options.reuseHorizon, block.useCount) / bytes;
}

bool shouldExport(
    const BlockUsage &block, const ReuseIntervals &intervals, const ExportOptions &options, std::uint64_t freeBytes, double lowestStored, Instant now)
{
    if (intervals.reuseProbability(now - block.lastUsed, options.reuseHorizon, block.useCount) < options.minReuseProbability) {
        return false;
    }
    const double saving = savingPerByte(block, intervals, options, now);
    return saving > 0 && (block.bytes <= freeBytes || saving > lowestStored);
}

std::vector<std::size_t> chooseEvictions(
    std::span<const BlockUsage> blocks, std::uint64_t bytesNeeded, const ReuseIntervals &intervals, const ExportOptions &options, Instant now)
{
    std::vector<double> savings;
    savings.reserve(blocks.size());
    for (const BlockUsage &it : blocks) {
        savings.push_back(savingPerByte(it, intervals, options, now));
    }
    std::vector<std::size_t> order(blocks.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return savings[a] < savings[b];
    });
    std::uint64_t freed = 0;
    std::size_t count = 0;
    for (const std::size_t it : order) {
        if (freed >= bytesNeeded) {
            break;
        }
        freed += blocks[it].bytes;
        ++count;
    }
    order.resize(count);
    return order;
}

} // namespace auburndrum::decision
