#include "auburndrum/decision/traffic/backendlist.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

std::uint64_t digestOf(const BackendServer &server)
{
    constexpr char Separator = '\0'; // in none of the fields
    std::string text;
    for (const std::string *it : {&server.id, &server.service, &server.address, &server.zone, &server.softwareVersion}) {
        text += *it;
        text += Separator;
    }
    text += std::to_string(server.parallelRequests) + (server.isDraining ? 'd' : 'r') + std::to_string(server.startedAt.time_since_epoch().count());
    for (const auto &[model, version] : server.weightVersions) {
        text += Separator;
        text += model;
        text += Separator;
        text += std::to_string(version);
    }
    return XXH3_64bits(text.data(), text.size());
}

BackendList::BackendList(const BackendListOptions &options)
    : m_options(options)
{
}

BackendChange BackendList::put(const BackendServer &server, Instant now)
{
    const auto [it, isNew] = m_entries.try_emplace(server.id, Entry{server, now, std::nullopt});
    if (isNew) {
        index(it->second);
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
    unindex(entry);
    entry.server = server;
    entry.changedAt = now;
    index(entry);
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
    unindex(it->second);
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
        const auto entry = m_entries.find(it);
        unindex(entry->second);
        m_entries.erase(entry);
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

void BackendList::index(const Entry &entry)
{
    ++m_revision;
    auto &list = m_byService[entry.server.service];
    const auto at = std::lower_bound(list.begin(), list.end(), entry.server.id, [](const Entry *a, const std::string &id) {
        return a->server.id < id;
    });
    list.insert(at, &entry);
}

void BackendList::unindex(const Entry &entry)
{
    ++m_revision;
    const auto list = m_byService.find(entry.server.service);
    std::erase(list->second, &entry);
    if (list->second.empty()) {
        m_byService.erase(list);
    }
}

const std::vector<const BackendList::Entry *> &BackendList::findByService(std::string_view service) const
{
    static const std::vector<const Entry *> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

bool BackendList::hasSoftwareVersion(std::string_view service, std::string_view version) const
{
    const auto &list = findByService(service);
    return std::any_of(list.begin(), list.end(), [&](const Entry *it) {
        return it->server.softwareVersion == version;
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
