#include "auburndrum/decision/exportpolicy.h"

#include <algorithm>
#include <numeric>

namespace auburndrum::decision {

double savingPerByte(const BlockUse &block, const ReturnGaps &gaps, const ExportRates &rates, Instant now)
{
    if (block.bytes == 0) {
        return 0;
    }
    const double bytes = static_cast<double>(block.bytes);
    const double saved = block.tokens / rates.prefillTokensPerSecond - bytes / rates.storeBytesPerSecond;
    return std::max(saved, 0.0) * gaps.returnChance(now - block.lastUsed, rates.horizon, block.visits) / bytes;
}

bool shouldExport(const BlockUse &block, const ReturnGaps &gaps, const ExportRates &rates, std::uint64_t freeBytes, double lowestStored, Instant now)
{
    if (gaps.returnChance(now - block.lastUsed, rates.horizon, block.visits) < rates.minChance) {
        return false;
    }
    const double saving = savingPerByte(block, gaps, rates, now);
    return saving > 0 && (block.bytes <= freeBytes || saving > lowestStored);
}

std::vector<std::size_t> chooseEvictions(
    std::span<const BlockUse> blocks, std::uint64_t bytesNeeded, const ReturnGaps &gaps, const ExportRates &rates, Instant now)
{
    std::vector<double> savings;
    savings.reserve(blocks.size());
    for (const BlockUse &it : blocks) {
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
