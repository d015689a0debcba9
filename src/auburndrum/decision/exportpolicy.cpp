#include "auburndrum/decision/exportpolicy.h"

#include <algorithm>
#include <numeric>

namespace auburndrum::decision {

double savingPerByte(const BlockUsage &block, const ReuseIntervals &gaps, const ExportOptions &rates, Instant now)
{
    if (block.bytes == 0) {
        return 0;
    }
    const double bytes = static_cast<double>(block.bytes);
    const double saved = block.tokens / rates.prefillTokensPerSecond - bytes / rates.storeBytesPerSecond;
    return std::max(saved, 0.0) * gaps.reuseProbability(now - block.lastUsed, rates.reuseHorizon, block.useCount) / bytes;
}

bool shouldExport(const BlockUsage &block, const ReuseIntervals &gaps, const ExportOptions &rates, std::uint64_t freeBytes, double lowestStored, Instant now)
{
    if (gaps.reuseProbability(now - block.lastUsed, rates.reuseHorizon, block.useCount) < rates.minReuseProbability) {
        return false;
    }
    const double saving = savingPerByte(block, gaps, rates, now);
    return saving > 0 && (block.bytes <= freeBytes || saving > lowestStored);
}

std::vector<std::size_t> chooseEvictions(
    std::span<const BlockUsage> blocks, std::uint64_t bytesNeeded, const ReuseIntervals &gaps, const ExportOptions &rates, Instant now)
{
    std::vector<double> savings;
    savings.reserve(blocks.size());
    for (const BlockUsage &it : blocks) {
        savings.push_back(savingPerByte(it, gaps, rates, now));
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
