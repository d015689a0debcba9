#pragma once

#include "auburndrum/decision/traffic/storedprompts.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::gateway {

/// An update of one prompt store.
struct PromptStoreLogEntry
{
    std::string address;
    std::optional<decision::PromptStoreUpdate> update; ///< nothing: the store became unreachable
};

/// The entries of a PromptStoreLog from a requested number on.
struct PromptStoreLogSlice
{
    std::string logName; ///< name of the log that the entry numbers belong to
    std::uint64_t nextEntry = 0; ///< number of the entry to request next
    std::vector<PromptStoreLogEntry> entries;
};

/// @brief Updates of the prompt stores in the order in which this entry VM received them, for the VMs that poll it.
///
/// Holds a bounded number of changes. A reader that requests older entries gets a snapshot of each store. Not thread-safe.
class PromptStoreLog
{
public:
    /// @param name unique among all logs, also among those of later processes of this VM
    /// @param storedPrompts the current contents of the stores; outlives this object
    PromptStoreLog(std::string name, const decision::StoredPrompts &storedPrompts);

    void addUpdate(const std::string &address, const decision::PromptStoreUpdate &update);
    void addUnreachable(const std::string &address);
    /// The entries from number `from` of the log `log` on, as many as an answer should hold.
    PromptStoreLogSlice readFrom(std::string_view log, std::uint64_t from) const;

private:
    void append(PromptStoreLogEntry entry);
    PromptStoreLogSlice snapshot() const;

    std::string m_name;
    const decision::StoredPrompts &m_storedPrompts;
    std::deque<PromptStoreLogEntry> m_entries;
    std::uint64_t m_firstEntry = 0; ///< number of the oldest entry
    std::size_t m_changeCount = 0; ///< number of changes in all entries
};

} // namespace auburndrum::gateway
