#include "auburndrum/daemon/daemon.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndrum::daemon {

namespace {

using nlohmann::json;

/// Number of live entry VMs, which append to the log; at least 1 for this one.
std::size_t countLive(const decision::Membership &membership)
{
    return std::max<std::size_t>(1, membership.usableMembers().size());
}

} // namespace

void Daemon::startEntryLink()
{
    entry::EntryLinkOptions options;
    options.self.name = m_settings.name;
    options.self.address = net::toText(m_address);
    options.self.zone = m_settings.zone;
    options.self.region = m_settings.region;
    options.self.incarnation = static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    options.fleetSecret = m_settings.fleetSecret;
    for (const SocketAddress &it : m_settings.peers) {
        options.seeds.push_back(toText(it));
    }
    entry::EntryLinkHooks hooks;
    hooks.onMemberChange = [this](const decision::MemberRecord &it) {
        const bool isGone = it.state() == decision::MemberState::Dead;
        m_timeline.record(isGone ? EventKind::PeerLost : EventKind::PeerBack, {}, it.name);
        m_claims.setBatcherCount(countLive(m_entryLink->membership()));
    };
    hooks.onLeavingServer = [this](const decision::LeavingServer &it) {
        m_fleet.markLeaving(it.server, it.incarnation);
    };
    hooks.onReplaced = [this] {
        m_log.error("another process uses the name {}", m_settings.name);
    };
    hooks.config.isFetchEnabled = [this] {
        return !isLogUp();
    };
    hooks.config.provideFold = [this]() -> std::optional<std::string> {
        return m_isCaughtUp ? std::optional(decision::encodeEntry({m_fold.snapshot()})) : std::nullopt;
    };
    hooks.config.apply = [this](const entry::ConfigTransfer &it) {
        return loadPeerSnapshot(it);
    };
    hooks.timelineReport = [this](const std::string &filterJson) {
        return timelineReport(filterJson);
    };
    m_entryLink = std::make_unique<entry::EntryLink>(m_http, std::move(options), std::move(hooks));
    m_entryLink->start();
}

std::vector<std::string> Daemon::liveNames() const
{
    std::vector<std::string> names;
    for (const decision::MemberRecord &it : m_entryLink->membership().usableMembers()) {
        names.push_back(it.name);
    }
    return names;
}

std::string Daemon::timelineReport(const std::string &filterJson) const
{
    const json filter = parseJsonOrDiscard(filterJson);
    TimelineFilter timelineFilter;
    if (filter.is_object()) {
        timelineFilter.requestId = filter.value("request", std::string());
        if (filter.contains("since_ms") && filter["since_ms"].is_number_integer()) {
            timelineFilter.since = WallTime(std::chrono::milliseconds(filter["since_ms"].get<std::int64_t>()));
        }
    }
    return toJson(TimelineReport{m_settings.name, m_settings.zone, m_timeline.dropped(), m_timeline.events(timelineFilter)});
}

} // namespace auburndrum::daemon
