#pragma once

#include "auburndrum/decision/traffic/storedprompts.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::gateway {

/// What was heard of one prompt store.
struct KeptNews
{
    std::string address;
    std::optional<decision::PromptStoreUpdate> report; ///< nothing: its changes stopped arriving
};

/// News of all prompt stores from some number on.
struct KeptSlice
{
    std::string log; ///< whose numbers these are
    std::uint64_t next = 0; ///< number to ask for next
    std::vector<KeptNews> news;
};

/// @brief News of the prompt stores in the order in which this entry VM heard them, for the VMs that ask it.
///
/// Keeps a bounded number of changes. Whoever asks for older ones gets all that is known of each store. Not thread-safe.
class KeptLog
{
public:
    /// @param name no other log has it, not even a later one of this VM
    /// @param kept what is known now; outlives this object
    KeptLog(std::string name, const decision::StoredPrompts &kept);

    void add(const std::string &address, const decision::PromptStoreUpdate &report);
    void addLost(const std::string &address);
    /// News from number `from` of the log `log` on.
    KeptSlice since(std::string_view log, std::uint64_t from) const;

private:
    void append(KeptNews news);
    KeptSlice everything() const;

    std::string m_name;
    const decision::StoredPrompts &m_kept;
    std::deque<KeptNews> m_news;
    std::uint64_t m_first = 0; ///< number of the oldest news
    std::size_t m_changes = 0; ///< in all news
};

} // namespace auburndrum::gateway
