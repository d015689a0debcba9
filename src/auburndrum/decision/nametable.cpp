#include "auburndrum/decision/nametable.h"

namespace auburndrum::decision {

NameTable::NameTable(std::size_t maxNames)
    : m_maxNames(maxNames)
{
}

std::optional<NameId> NameTable::add(std::string_view name)
{
    if (const auto it = m_ids.find(name); it != m_ids.end()) {
        return it->second;
    }
    if (m_names.size() >= m_maxNames) {
        return std::nullopt;
    }
    const auto id = static_cast<NameId>(m_names.size());
    m_names.emplace_back(name);
    m_ids.emplace(m_names.back(), id);
    return id;
}

std::optional<NameId> NameTable::find(std::string_view name) const
{
    const auto it = m_ids.find(name);
    if (it == m_ids.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::string_view NameTable::name(NameId id) const
{
    return m_names.at(id);
}

std::size_t NameTable::size() const
{
    return m_names.size();
}

} // namespace auburndrum::decision
