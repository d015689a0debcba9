#include "auburndrum/decision/storetable.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr double RateSmoothingFactor = 0.3;
constexpr double MinBytesPerSecond = 1e4;

double &rateOf(Store &store, StoreTier tier)
{
    return tier == StoreTier::Memory ? store.memoryBytesPerSecond : store.diskBytesPerSecond;
}

} // namespace

StoreTable::StoreTable(const StoreTableOptions &options)
    : m_options(options)
    , m_blocks(options.maxBlocks)
{
}

std::uint16_t StoreTable::put(std::string_view address, std::string_view zone, std::string_view region)
{
    std::uint16_t index = 0;
    for (const Store &it : m_stores) {
        if (it.present && it.address == address) {
            return index;
        }
        ++index;
    }
    // Indexes are not reused, so blocks of a removed store are never found in another one.
    Store store;
    store.address = address;
    store.zone = zone;
    store.region = region;
    store.memoryBytesPerSecond = m_options.memoryBytesPerSecond;
    store.diskBytesPerSecond = m_options.diskBytesPerSecond;
    store.present = true;
    m_stores.push_back(store);
    return index;
}

void StoreTable::remove(std::string_view address)
{
    for (Store &it : m_stores) {
        if (it.address == address) {
            it = Store{};
        }
    }
}

void StoreTable::putBlock(const PieceKey &key, const StoredBlock &block)
{
    m_blocks[pack(key)] = block;
}

void StoreTable::removeBlock(const PieceKey &key)
{
    m_blocks.erase(pack(key));
}

void StoreTable::setFreeBytes(std::string_view address, std::uint64_t bytes)
{
    for (Store &it : m_stores) {
        if (it.address == address) {
            it.freeBytes = bytes;
        }
    }
}

const StoredBlock *StoreTable::find(const PieceKey &key, Instant now)
{
    const StoredBlock *block = m_blocks.find(pack(key));
    if (block == nullptr || block->store >= m_stores.size()) {
        return nullptr;
    }
    const Store &store = m_stores[block->store];
    return store.present && store.pausedUntil <= now ? block : nullptr;
}

std::chrono::nanoseconds StoreTable::predictedReadTime(const StoredBlock &block, std::uint64_t bytes) const
{
    const Store &store = m_stores.at(block.store);
    const double rate = block.tier == StoreTier::Memory ? store.memoryBytesPerSecond : store.diskBytesPerSecond;
    const std::chrono::duration<double> transfer(static_cast<double>(store.pendingBytes + bytes) / rate);
    return m_options.readDelay + std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
}

void StoreTable::onReadStarted(std::uint16_t store, std::uint64_t bytes)
{
    m_stores.at(store).pendingBytes += bytes;
}

void StoreTable::onReadFinished(std::uint16_t store, StoreTier tier, std::uint64_t bytes, std::chrono::nanoseconds elapsed)
{
    Store &it = m_stores.at(store);
    it.pendingBytes -= std::min(it.pendingBytes, bytes);
    const std::chrono::duration<double> seconds = elapsed - m_options.readDelay;
    if (!it.present || seconds.count() <= 0) {
        return;
    }
    // Concurrent reads share the store's rate, so this is the rate of one read among the others.
    const double measured = std::max(static_cast<double>(bytes) / seconds.count(), MinBytesPerSecond);
    double &rate = rateOf(it, tier);
    rate += RateSmoothingFactor * (measured - rate);
}

void StoreTable::onReadFailed(std::uint16_t store, std::uint64_t bytes, Instant now)
{
    Store &it = m_stores.at(store);
    it.pendingBytes -= std::min(it.pendingBytes, bytes);
    it.pausedUntil = now + m_options.failurePause;
}

const Store &StoreTable::at(std::uint16_t store) const
{
    return m_stores.at(store);
}

std::size_t StoreTable::blockCount() const
{
    return m_blocks.size();
}

std::size_t StoreTable::stateBytes() const
{
    return m_blocks.tableBytes() + m_stores.capacity() * sizeof(Store);
}

} // namespace auburndrum::decision
