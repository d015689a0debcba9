#include "auburndrum/gateway/promptstorelog.h"

namespace auburndrum::gateway {

namespace {

constexpr std::size_t MaxChanges = 4000; // uses at most half a megabyte, and holds several seconds of a large fleet's changes
constexpr std::size_t MaxSliceChanges = 500; // about 64 KiB, which arrive well within a poll's timeout; the next poll gets the rest

} // namespace

PromptStoreLog::PromptStoreLog(std::string name, const decision::StoredPrompts &storedPrompts)
    : m_name(std::move(name))
    , m_storedPrompts(storedPrompts)
{
}

void PromptStoreLog::addUpdate(const std::string &address, const decision::PromptStoreUpdate &update)
{
    append({address, update});
}

void PromptStoreLog::addUnreachable(const std::string &address)
{
    append({address, std::nullopt});
}

void PromptStoreLog::append(PromptStoreLogEntry entry)
{
    m_changeCount += entry.update ? entry.update->changes.size() : 0;
    m_entries.push_back(std::move(entry));
    // Empty updates use memory too.
    while (!m_entries.empty() && (m_changeCount > MaxChanges || m_entries.size() > MaxChanges)) {
        m_changeCount -= m_entries.front().update ? m_entries.front().update->changes.size() : 0;
        m_entries.pop_front();
        ++m_firstEntry;
    }
}

PromptStoreLogSlice PromptStoreLog::snapshot() const
{
    PromptStoreLogSlice slice{m_name, m_firstEntry + m_entries.size(), {}};
    for (const std::string &it : m_storedPrompts.addresses()) {
        slice.entries.push_back({it, m_storedPrompts.snapshot(it)});
    }
    return slice;
}

PromptStoreLogSlice PromptStoreLog::readFrom(std::string_view log, std::uint64_t from) const
{
    const std::uint64_t end = m_firstEntry + m_entries.size();
    if (log != m_name || from < m_firstEntry || from > end) {
        return snapshot();
    }
    PromptStoreLogSlice slice{m_name, from, {}};
    std::size_t changes = 0;
    for (auto it = m_entries.begin() + static_cast<std::ptrdiff_t>(from - m_firstEntry); it != m_entries.end(); ++it) {
        changes += it->update ? it->update->changes.size() : 0;
        if (changes > MaxSliceChanges && !slice.entries.empty()) {
            break;
        }
        slice.entries.push_back(*it);
        ++slice.nextEntry;
    }
    return slice;
}

} // namespace auburndrum::gateway
