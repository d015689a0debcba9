#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <utility>

namespace auburndrum::decision {

/// Hash map of bounded size that forgets entries not written or found for long.
///
/// Keeps two halves: a full young half becomes the old one, and the former old half is dropped.
/// That costs no list pointers and no clock per entry. Not thread-safe.
template<typename Key, typename Value, typename Hash = absl::Hash<Key>>
class GenerationalMap
{
public:
    explicit GenerationalMap(std::size_t maxEntries)
        : m_halfEntries(maxEntries / 2 + 1)
    {
    }

    /// Returns the value of @p key for writing; adds an empty one when absent.
    Value &operator[](const Key &key)
    {
        if (Value *value = find(key)) {
            return *value;
        }
        makeRoom();
        return m_young[key];
    }

    /// Returns the value of @p key or nullptr, and keeps it young.
    Value *find(const Key &key)
    {
        if (const auto it = m_young.find(key); it != m_young.end()) {
            return &it->second;
        }
        const auto it = m_old.find(key);
        if (it == m_old.end()) {
            return nullptr;
        }
        Value value = std::move(it->second);
        m_old.erase(it);
        makeRoom();
        return &m_young.emplace(key, std::move(value)).first->second;
    }

    /// Returns the value of @p key or nullptr, and leaves its age as it is.
    const Value *peek(const Key &key) const
    {
        if (const auto it = m_young.find(key); it != m_young.end()) {
            return &it->second;
        }
        const auto it = m_old.find(key);
        return it == m_old.end() ? nullptr : &it->second;
    }

    void erase(const Key &key)
    {
        m_young.erase(key);
        m_old.erase(key);
    }

    std::size_t size() const
    {
        return m_young.size() + m_old.size();
    }

    /// Bytes of the tables themselves, without what values own outside.
    std::size_t tableBytes() const
    {
        return (m_young.capacity() + m_old.capacity()) * (sizeof(std::pair<const Key, Value>) + 1);
    }

private:
    void makeRoom()
    {
        if (m_young.size() < m_halfEntries) {
            return;
        }
        m_old = std::move(m_young);
        m_young.clear();
    }

    std::size_t m_halfEntries;
    absl::flat_hash_map<Key, Value, Hash> m_young;
    absl::flat_hash_map<Key, Value, Hash> m_old;
};

} // namespace auburndrum::decision
