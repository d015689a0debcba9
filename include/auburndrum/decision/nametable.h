#pragma once

#include "auburndrum/decision/stringmap.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// Small integer that identifies a name within one process.
using NameId = std::uint32_t;

/// Interns names as small integers. Holds a bounded number of names, and never removes one. Not thread-safe.
class NameTable
{
public:
    explicit NameTable(std::size_t maxNames);

    /// Returns the id of @p name and adds the name when new; nothing when the table is full.
    std::optional<NameId> add(std::string_view name);

    /// Returns the id of @p name, or nothing when it was never added.
    std::optional<NameId> find(std::string_view name) const;

    /// Returns the name of @p id, which must come from this table.
    std::string_view name(NameId id) const;

    std::size_t size() const;

private:
    std::size_t m_maxNames;
    std::deque<std::string> m_names; // a deque never moves its elements, so the map's views stay valid
    absl::flat_hash_map<std::string_view, NameId, StringHash, std::equal_to<>> m_ids;
};

} // namespace auburndrum::decision
