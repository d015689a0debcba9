#include "standins/store/blockstore.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

const char *tierName(BlockTier tier)
{
    return tier == BlockTier::Memory ? "memory" : "disk";
}

std::string blockChecksum(std::string_view bytes)
{
    return absl::StrFormat("%016x", XXH3_64bits(bytes.data(), bytes.size()));
}

BlockStore::BlockStore(const BlockStoreOptions &options)
    : m_options(options)
{
}

StoreResult<std::uint64_t> BlockStore::begin(BlockManifest manifest, std::string bytes)
{
    if (blockChecksum(bytes) != manifest.checksum) {
        return StoreError::WrongChecksum;
    }
    const auto old = m_blocks.find(manifest.key);
    const std::uint64_t freed = old == m_blocks.end() ? 0 : old->second.manifest.length;
    const std::uint64_t used = usedBytes(BlockTier::Memory) + usedBytes(BlockTier::Disk) - freed;
    if (bytes.size() > m_options.memoryBytes || used + bytes.size() > m_options.memoryBytes + m_options.diskBytes) {
        return StoreError::Full;
    }
    remove(manifest.key);
    manifest.generation = m_nextGeneration++;
    manifest.length = bytes.size();
    manifest.committed = false;
    manifest.tier = BlockTier::Memory;
    m_used[0] += manifest.length;
    const std::string key = manifest.key;
    const auto use = m_memoryUse.insert(m_memoryUse.end(), key);
    const std::uint64_t generation = manifest.generation;
    m_blocks[key] = {std::move(manifest), std::move(bytes), use};
    demoteUntilFits();
    return generation;
}

void BlockStore::commit(const std::string &key, std::uint64_t generation)
{
    const auto it = m_blocks.find(key);
    if (it != m_blocks.end() && it->second.manifest.generation == generation) {
        it->second.manifest.committed = true;
    }
}

std::optional<BlockManifest> BlockStore::manifest(const std::string &key) const
{
    const auto it = m_blocks.find(key);
    if (it == m_blocks.end()) {
        return std::nullopt;
    }
    return it->second.manifest;
}

std::optional<std::string> BlockStore::read(const std::string &key)
{
    const auto it = m_blocks.find(key);
    if (it == m_blocks.end()) {
        return std::nullopt;
    }
    if (it->second.manifest.tier == BlockTier::Memory) {
        m_memoryUse.splice(m_memoryUse.end(), m_memoryUse, it->second.use);
    }
    return it->second.bytes;
}

bool BlockStore::remove(const std::string &key)
{
    const auto it = m_blocks.find(key);
    if (it == m_blocks.end()) {
        return false;
    }
    const BlockManifest &old = it->second.manifest;
    m_used[static_cast<int>(old.tier)] -= old.length;
    if (old.tier == BlockTier::Memory) {
        m_memoryUse.erase(it->second.use);
    }
    m_blocks.erase(it);
    return true;
}

std::vector<BlockManifest> BlockStore::changedSince(std::uint64_t generation) const
{
    std::vector<BlockManifest> out;
    for (const auto &[key, block] : m_blocks) {
        if (block.manifest.generation >= generation) {
            out.push_back(block.manifest);
        }
    }
    std::sort(out.begin(), out.end(), [](const BlockManifest &a, const BlockManifest &b) {
        return a.generation < b.generation;
    });
    return out;
}

std::uint64_t BlockStore::nextGeneration() const
{
    return m_nextGeneration;
}

std::uint64_t BlockStore::usedBytes(BlockTier tier) const
{
    return m_used[static_cast<int>(tier)];
}

const BlockStoreOptions &BlockStore::options() const
{
    return m_options;
}

void BlockStore::demoteUntilFits()
{
    while (m_used[0] > m_options.memoryBytes) {
        Block &block = m_blocks.at(m_memoryUse.front());
        m_memoryUse.pop_front();
        block.manifest.tier = BlockTier::Disk;
        m_used[0] -= block.manifest.length;
        m_used[1] += block.manifest.length;
    }
}

} // namespace auburndrum::standins
