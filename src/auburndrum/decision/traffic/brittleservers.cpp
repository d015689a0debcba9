#include "auburndrum/decision/traffic/brittleservers.h"

#include <algorithm>

namespace auburndrum::decision {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

constexpr std::size_t MaxSharedRooms = 512; // in one message

} // namespace

BrittleServers::BrittleServers(BrittleServersOptions options)
    : m_options(std::move(options))
    , m_owners(m_options.vm)
    , m_words({.vm = m_options.vm})
{
}

void BrittleServers::setVms(const std::vector<std::string> &vms)
{
    m_owners.setVms(vms);
    m_words.setVms(vms);
}

void BrittleServers::setSettleTime(milliseconds time)
{
    m_options.settleTime = time;
}

LimitChange BrittleServers::onResponse(std::string_view service, std::optional<double> borne, Instant sentAt, Instant now)
{
    if (borne) {
        borne = std::max(*borne, m_options.leastBorne);
    }
    const LimitChange change = m_words.onResponse(service, {}, borne, sentAt, now);
    if (m_words.isEmpty()) {
        m_rooms.clear();
    }
    return change;
}

std::optional<Instant> BrittleServers::strictFrom(std::string_view service) const
{
    const auto since = m_words.numberedFrom(service, {});
    return since ? std::optional(*since + m_options.settleTime) : std::nullopt;
}

const BrittleServers::Room *BrittleServers::find(std::string_view server, WallTime startedAt) const
{
    const auto it = m_rooms.find(server);
    return it == m_rooms.end() || it->second.startedAt != startedAt ? nullptr : &it->second;
}

BrittleServers::Room &BrittleServers::roomOf(std::string_view server, WallTime startedAt)
{
    if (m_rooms.size() >= m_options.maxServers && !m_rooms.contains(std::string(server))) {
        m_rooms.clear(); // their rooms are learned again
    }
    Room &it = m_rooms[std::string(server)];
    if (it.startedAt != startedAt) {
        it = {.startedAt = startedAt};
    }
    return it;
}

void BrittleServers::onTaken(
    std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, std::uint32_t held, Instant sentAt, Instant now)
{
    const auto strict = strictFrom(service);
    if (!strict || sentAt < *strict) {
        return; // the server may have had more room then
    }
    Room &it = roomOf(server, startedAt);
    const std::uint32_t seen = std::max(ownRequests, held);
    if (seen > it.requests) {
        it.requests = seen;
        it.seenAt = now;
    }
}

void BrittleServers::onRejected(std::string_view service, std::string_view server, WallTime startedAt, std::optional<std::uint32_t> held, Instant now)
{
    const auto strict = strictFrom(service);
    if (!strict || now < *strict) {
        return;
    }
    Room &it = roomOf(server, startedAt);
    const std::uint32_t less = it.requests == 0 ? 0 : it.requests - 1;
    it.requests = held ? std::min(it.requests, std::max(*held, 1U)) : less;
    it.seenAt = now;
    it.rejectedAt = now;
    it.pausedUntil = now + m_options.rejectionPause;
}

std::uint32_t BrittleServers::ownPlaces(std::string_view server, const Room &room) const
{
    std::uint32_t places = 0;
    for (std::uint32_t n = 1; n <= room.requests; ++n) {
        places += m_owners.isOwn(server, -static_cast<std::int64_t>(n)) ? 1 : 0; // permits have the numbers from 0 on
    }
    return places;
}

std::optional<Instant> BrittleServers::nextPermit(std::string_view service, std::string_view server, const Room &room, Instant now) const
{
    const auto borne = m_words.find(service, {});
    const auto since = m_words.numberedFrom(service, {});
    if (!borne || !since) {
        return std::nullopt;
    }
    const auto interval = std::chrono::floor<nanoseconds>(std::chrono::duration<double>(1 / (m_options.riskedShare * *borne)));
    return m_owners.nextOwn(server, *since, std::max(interval, nanoseconds(milliseconds(1))), std::max(room.usedUntil, now - m_options.permitLifetime));
}

bool BrittleServers::allows(std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, Instant now) const
{
    if (m_words.isEmpty()) {
        return true;
    }
    const auto strict = strictFrom(service);
    if (!strict || now < *strict) {
        return true;
    }
    static const Room unknown;
    const Room *known = find(server, startedAt);
    const Room &room = known == nullptr ? unknown : *known;
    if (now < room.pausedUntil) {
        return false;
    }
    if (ownRequests < ownPlaces(server, room)) {
        return true;
    }
    if (now - room.rejectedAt < m_options.fullTime) {
        return false;
    }
    const auto permit = nextPermit(service, server, room, now);
    return permit && *permit <= now;
}

void BrittleServers::onSent(std::string_view service, std::string_view server, WallTime startedAt, std::uint32_t ownRequests, Instant now)
{
    const auto strict = strictFrom(service);
    if (!strict || now < *strict) {
        return;
    }
    Room &it = roomOf(server, startedAt);
    if (ownRequests >= ownPlaces(server, it)) {
        it.usedUntil = nextPermit(service, server, it, now).value_or(now);
    }
}

std::vector<ServerRoom> BrittleServers::rooms() const
{
    std::vector<ServerRoom> list;
    for (const auto &[server, it] : m_rooms) {
        if (it.seenAt != Instant{}) {
            list.push_back({server, it.startedAt, it.requests, it.seenAt, it.rejectedAt});
        }
    }
    if (list.size() > MaxSharedRooms) {
        std::sort(list.begin(), list.end(), [](const ServerRoom &a, const ServerRoom &b) {
            return a.seenAt > b.seenAt;
        });
        list.resize(MaxSharedRooms);
    }
    return list;
}

void BrittleServers::merge(const std::vector<ServerRoom> &rooms, Instant now)
{
    for (const ServerRoom &it : rooms) {
        const auto known = m_rooms.find(it.server);
        if (m_words.isEmpty() || (known != m_rooms.end() && known->second.startedAt > it.startedAt)) {
            continue;
        }
        Room &room = roomOf(it.server, it.startedAt);
        if (it.seenAt > room.seenAt) {
            room.requests = it.requests;
            room.seenAt = std::min(it.seenAt, now);
        }
        room.rejectedAt = std::max(room.rejectedAt, std::min(it.rejectedAt, now));
    }
}

} // namespace auburndrum::decision
