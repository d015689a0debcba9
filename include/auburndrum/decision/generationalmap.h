#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <utility>

namespace auburndrum::decision {

/// Hash map of bounded size that evicts entries which have not been written or found recently.
///
/// Holds two generations: when the recent one is full, it replaces the previous one, whose entries are dropped. Unlike an LRU list this needs no
/// pointers and no time stamp per entry. Not thread-safe.
template<typename Key, typename Value, typename Hash = absl::Hash<Key>>
class GenerationalMap
{
public:
    explicit GenerationalMap(std::size_t maxEntries)
        : m_generationCapacity(maxEntries / 2 + 1)
    {
    }

    /// Returns the value of @p key, or a new empty one, and makes the entry recent.
    Value &operator[](const Key &key)
    {
        if (Value *value = find(key)) {
            return *value;
        }
        rotateWhenFull();
        return m_recent[key];
    }

    /// Returns the value of @p key or nullptr, and makes the entry recent.
    Value *find(const Key &key)
    {
        if (const auto it = m_recent.find(key); it != m_recent.end()) {
            return &it->second;
        }
        const auto it = m_previous.find(key);
        if (it == m_previous.end()) {
            return nullptr;
        }
        Value value = std::move(it->second);
        m_previous.erase(it);
        rotateWhenFull();
        return &m_recent.emplace(key, std::move(value)).first->second;
    }

    /// Returns the value of @p key or nullptr, without making the entry recent.
    const Value *peek(const Key &key) const
    {
        if (const auto it = m_recent.find(key); it != m_recent.end()) {
            return &it->second;
        }
        const auto it = m_previous.find(key);
        return it == m_previous.end() ? nullptr : &it->second;
    }

    void erase(const Key &key)
    {
        m_recent.erase(key);
        m_previous.erase(key);
    }

    std::size_t size() const
    {
        return m_recent.size() + m_previous.size();
    }

    /// Returns the size of the tables in bytes, without memory that keys and values own elsewhere.
    std::size_t tableBytes() const
    {
        return (m_recent.capacity() + m_previous.capacity()) * (sizeof(std::pair<const Key, Value>) + 1);
    }

private:
    void rotateWhenFull()
    {
        if (m_recent.size() < m_generationCapacity) {
            return;
        }
        m_previous = std::move(m_recent);
        m_recent.clear();
    }

    std::size_t m_generationCapacity;
    absl::flat_hash_map<Key, Value, Hash> m_recent;
    absl::flat_hash_map<Key, Value, Hash> m_previous;
};

} // namespace auburndrum::decision
