#include "auburndrum/decision/traffic/backendlist.h"

#include <algorithm>

namespace auburndrum::decision {

BackendList::BackendList(const BackendListOptions &options)
    : m_options(options)
{
}

BackendChange BackendList::put(const BackendServer &server, Instant now)
{
    const auto [it, isNew] = m_entries.try_emplace(server.id, Entry{server, now, std::nullopt});
    if (isNew) {
        return server.isDraining ? BackendChange::Draining : BackendChange::Added;
    }
    Entry &entry = it->second;
    const bool hadLapsed = entry.expiredAt.has_value();
    entry.expiredAt.reset();
    // A process that drains never takes requests again; a registration that says otherwise is an older one.
    const bool isOlder = entry.server.isDraining && !server.isDraining && entry.server.startedAt == server.startedAt;
    if (entry.server == server || isOlder) {
        return hadLapsed ? BackendChange::Restored : BackendChange::None;
    }
    const bool isRestart = entry.server.startedAt != server.startedAt;
    const bool beganDraining = server.isDraining && !entry.server.isDraining;
    entry.server = server;
    entry.changedAt = now;
    if (isRestart) {
        return BackendChange::Restarted;
    }
    return beganDraining ? BackendChange::Draining : BackendChange::Updated;
}

BackendChange BackendList::remove(std::string_view id, Instant now, bool duringOutage)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return BackendChange::None;
    }
    if (duringOutage && !it->second.server.isDraining) {
        if (!it->second.expiredAt) {
            it->second.expiredAt = now;
        }
        return BackendChange::None;
    }
    m_entries.erase(it);
    return BackendChange::Removed;
}

std::vector<std::string> BackendList::removeExpired(Instant now)
{
    std::vector<std::string> gone;
    for (const auto &[id, entry] : m_entries) {
        if (entry.expiredAt && now - *entry.expiredAt >= m_options.expiryGrace) {
            gone.push_back(id);
        }
    }
    for (const std::string &it : gone) {
        m_entries.erase(it);
    }
    return gone;
}

const BackendList::Entry *BackendList::find(std::string_view id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

bool BackendList::acceptsRequests(const Entry &entry)
{
    return !entry.server.isDraining;
}

std::vector<const BackendList::Entry *> BackendList::findByService(std::string_view service) const
{
    std::vector<const Entry *> list;
    for (const auto &[id, entry] : m_entries) {
        if (entry.server.service == service) {
            list.push_back(&entry);
        }
    }
    return list;
}

bool BackendList::hasSoftwareVersion(std::string_view service, std::string_view version) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        return it.second.server.service == service && it.second.server.softwareVersion == version;
    });
}

std::size_t BackendList::size() const
{
    return m_entries.size();
}

std::vector<std::string> BackendList::ids() const
{
    std::vector<std::string> list;
    for (const auto &[id, entry] : m_entries) {
        list.push_back(id);
    }
    return list;
}

const char *toText(BackendChange change)
{
    switch (change) {
    case BackendChange::None:
        return "none";
    case BackendChange::Added:
        return "added";
    case BackendChange::Restarted:
        return "restarted";
    case BackendChange::Updated:
        return "updated";
    case BackendChange::Draining:
        return "draining";
    case BackendChange::Removed:
        return "removed";
    case BackendChange::Restored:
        return "restored";
    }
    return "unknown";
}

} // namespace auburndrum::decision
