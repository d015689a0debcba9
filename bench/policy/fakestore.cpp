#include "fakestore.h"

#include <algorithm>

namespace auburndrum::bench {

using decision::PieceKey;
using decision::StoreTier;

namespace {

constexpr std::size_t SampleSize = 64;
constexpr std::chrono::seconds MaxWriteBacklog{2};

} // namespace

FakeStore::FakeStore(EventLoop &loop, const Profile &profile, Listener listener, Evictor evictor)
    : m_loop(loop)
    , m_profile(profile)
    , m_listener(std::move(listener))
    , m_evictor(std::move(evictor))
{
}

bool FakeStore::holds(const PieceKey &key) const
{
    return m_blocks.contains(decision::pack(key));
}

std::optional<Instant> FakeStore::read(const PieceKey &key)
{
    const auto it = m_blocks.find(decision::pack(key));
    if (it == m_blocks.end()) {
        return std::nullopt;
    }
    Block &block = it->second;
    Instant &free = block.memory ? m_memoryFree : m_diskFree;
    const double rate = block.memory ? m_profile.storeMemoryBytesPerSecond : m_profile.storeDiskBytesPerSecond;
    free = std::max(free, m_loop.now()) + seconds(block.bytes / rate);
    const Instant arrived = free;
    ++block.visits;
    block.lastUsed = m_loop.now();
    toMemory(key, block);
    trim();
    return arrived;
}

void FakeStore::write(const PieceKey &key, std::uint32_t bytes)
{
    if (m_full || holds(key) || m_writeFree > m_loop.now() + MaxWriteBacklog) {
        return;
    }
    m_writeFree = std::max(m_writeFree, m_loop.now()) + seconds(bytes / m_profile.storeWriteBytesPerSecond);
    m_loop.at(m_writeFree, [this, key, bytes] {
        commit(key, bytes);
    });
}

void FakeStore::setFull(bool full)
{
    m_full = full;
}

std::uint64_t FakeStore::freeBytes() const
{
    const std::uint64_t size = m_profile.storeMemoryBytes + m_profile.storeDiskBytes;
    const std::uint64_t used = m_memoryBytes + m_diskBytes;
    return m_full || used > size ? 0 : size - used;
}

void FakeStore::commit(const PieceKey &key, std::uint32_t bytes)
{
    if (holds(key)) {
        return;
    }
    Block block;
    block.bytes = bytes;
    block.lastUsed = m_loop.now();
    m_memory.push_front(key);
    block.place = m_memory.begin();
    m_memoryBytes += bytes;
    m_blocks.emplace(decision::pack(key), block);
    m_known.push_back(key);
    m_listener(key, bytes, StoreTier::Memory, true);
    trim();
}

void FakeStore::trim()
{
    while (m_memoryBytes > m_profile.storeMemoryBytes) {
        const PieceKey key = m_memory.back();
        Block &block = m_blocks.at(decision::pack(key));
        m_disk.splice(m_disk.begin(), m_memory, block.place);
        block.place = m_disk.begin();
        block.memory = false;
        m_memoryBytes -= block.bytes;
        m_diskBytes += block.bytes;
        m_listener(key, block.bytes, StoreTier::Disk, true);
    }
    while (m_diskBytes > m_profile.storeDiskBytes) {
        if (m_evictor) {
            evictSample(m_diskBytes - m_profile.storeDiskBytes);
        } else {
            evict(m_disk.back());
        }
    }
}

void FakeStore::evictSample(std::uint64_t bytes)
{
    std::vector<decision::BlockUsage> sample;
    while (sample.size() < SampleSize) {
        const std::size_t at = m_random() % m_known.size();
        const auto it = m_blocks.find(decision::pack(m_known[at]));
        if (it == m_blocks.end()) {
            m_known[at] = m_known.back();
            m_known.pop_back();
            continue;
        }
        const Block &block = it->second;
        if (!block.memory) {
            const std::uint32_t tokens = block.bytes / m_profile.bytesPerToken;
            sample.push_back({m_known[at], tokens, block.bytes, block.visits, block.lastUsed});
        }
    }
    for (const std::size_t it : m_evictor(sample, bytes)) {
        evict(sample[it].key);
    }
}

void FakeStore::evict(const PieceKey &key)
{
    const auto it = m_blocks.find(decision::pack(key));
    if (it == m_blocks.end()) {
        return;
    }
    m_diskBytes -= it->second.bytes;
    m_disk.erase(it->second.place);
    const std::uint32_t bytes = it->second.bytes;
    m_blocks.erase(it);
    m_listener(key, bytes, StoreTier::Disk, false);
}

void FakeStore::toMemory(const PieceKey &key, Block &block)
{
    if (block.memory) {
        m_memory.splice(m_memory.begin(), m_memory, block.place);
        return;
    }
    m_memory.splice(m_memory.begin(), m_disk, block.place);
    block.memory = true;
    m_memoryBytes += block.bytes;
    m_diskBytes -= block.bytes;
    m_listener(key, block.bytes, StoreTier::Memory, true);
}

} // namespace auburndrum::bench
