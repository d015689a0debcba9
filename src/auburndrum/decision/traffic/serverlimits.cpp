#include "auburndrum/decision/traffic/serverlimits.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace auburndrum::decision {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double NotableChange = 0.2; // share by which a limit changes until the other VMs have to know at once
constexpr std::size_t MaxSharedNotices = 512; // in one message
constexpr milliseconds OpenTime{2000}; // news are exchanged often for this long, in which they reach 340 VMs
constexpr milliseconds OftenInterval{250};
constexpr milliseconds SeldomInterval{1000};

} // namespace

const char *toText(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        return "none";
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    }
    return "unknown";
}

ServerLimits::ServerLimits(ServerLimitsOptions options)
    : m_options(std::move(options))
    , m_owners(m_options.vm)
{
}

void ServerLimits::setVms(const std::vector<std::string> &vms)
{
    if (!m_owners.setVms(vms)) {
        return;
    }
    for (auto &[server, it] : m_limits) {
        it.nextPermit.reset();
    }
}

const ServerLimits::Limit *ServerLimits::findInForce(std::string_view server, WallTime startedAt) const
{
    if (m_limits.empty()) {
        return nullptr;
    }
    const auto it = m_limits.find(server);
    const bool isInForce = it != m_limits.end() && it->second.notice.startedAt == startedAt && it->second.notice.perSecond > 0;
    return isInForce ? &it->second : nullptr;
}

std::optional<double> ServerLimits::find(std::string_view server, WallTime startedAt) const
{
    const Limit *it = findInForce(server, startedAt);
    return it == nullptr ? std::nullopt : std::optional(it->notice.perSecond);
}

nanoseconds ServerLimits::permitInterval(const Limit &it) const
{
    // Clamped as a floating-point number, since the interval of a tiny limit exceeds any integer.
    const std::chrono::duration<double, std::nano> interval(std::chrono::duration<double>(1 / it.notice.perSecond));
    const std::chrono::duration<double, std::nano> least(m_options.minPermitInterval);
    const std::chrono::duration<double, std::nano> most(m_options.maxPermitInterval);
    return std::chrono::floor<nanoseconds>(std::clamp(interval, least, most));
}

std::optional<Instant> ServerLimits::numberedFrom(std::string_view server, WallTime startedAt) const
{
    const Limit *it = findInForce(server, startedAt);
    return it == nullptr ? std::nullopt : std::optional(it->notice.numberedFrom);
}

std::optional<Instant> ServerLimits::ownPermitAfter(const Limit &it, Instant moment) const
{
    return m_owners.nextOwn(it.notice.server, it.notice.numberedFrom, permitInterval(it), moment);
}

std::optional<Instant> ServerLimits::nextPermit(const Limit &it, Instant now) const
{
    const Instant lapsed = now - m_options.permitLifetime;
    if (!it.nextPermit || *it.nextPermit <= lapsed) {
        it.nextPermit = ownPermitAfter(it, std::max(it.usedUntil, lapsed));
    }
    return it.nextPermit;
}

bool ServerLimits::allows(std::string_view server, WallTime startedAt, Instant now) const
{
    const Limit *it = findInForce(server, startedAt);
    if (it == nullptr) {
        return true;
    }
    const auto permit = nextPermit(*it, now);
    return permit && *permit <= now;
}

bool ServerLimits::awaitsConfirmation(std::string_view server, WallTime startedAt, Instant now) const
{
    const Limit *it = findInForce(server, startedAt);
    return it != nullptr && now - it->notice.at >= m_options.confirmInterval && allows(server, startedAt, now);
}

std::optional<Instant> ServerLimits::nextPromise(const Limit &it, Instant now) const
{
    return ownPermitAfter(it, std::max(now, it.promisedUntil));
}

milliseconds ServerLimits::timeToPermit(std::string_view server, WallTime startedAt, Instant now) const
{
    const Limit *it = findInForce(server, startedAt);
    if (it == nullptr) {
        return milliseconds(0);
    }
    const auto permit = nextPromise(*it, now);
    return permit ? std::chrono::ceil<milliseconds>(*permit - now) : m_options.maxPermitInterval;
}

milliseconds ServerLimits::promisePermit(std::string_view server, WallTime startedAt, milliseconds patience, Instant now)
{
    const milliseconds time = timeToPermit(server, startedAt, now);
    const auto it = m_limits.find(server);
    if (it != m_limits.end() && time <= patience) {
        it->second.promisedUntil = now + time;
    }
    return time;
}

void ServerLimits::onSent(std::string_view server, WallTime startedAt, Instant now)
{
    if (findInForce(server, startedAt) == nullptr) {
        return;
    }
    Limit &it = m_limits.find(server)->second;
    it.usedUntil = nextPermit(it, now).value_or(now);
    it.nextPermit.reset();
}

LimitChange ServerLimits::apply(Limit &it, const LimitNotice &notice, Instant now)
{
    const double before = it.notice.perSecond;
    const bool isContinued = before > 0 && notice.perSecond > 0;
    const Instant numberedFrom = isContinued ? std::min(it.notice.numberedFrom, notice.numberedFrom) : notice.numberedFrom;
    it.notice = notice;
    it.notice.numberedFrom = numberedFrom;
    it.nextPermit.reset();
    if (before == notice.perSecond) {
        return LimitChange::None;
    }
    if (isContinued && std::abs(notice.perSecond - before) < NotableChange * before) {
        return LimitChange::None;
    }
    it.changedAt = now;
    if (!isContinued) {
        it.usedUntil = now;
        it.promisedUntil = now;
    }
    return notice.perSecond == 0 ? LimitChange::Ended : before == 0 ? LimitChange::Named : LimitChange::Changed;
}

LimitChange ServerLimits::onResponse(std::string_view server, WallTime startedAt, std::optional<double> perSecond, Instant sentAt, Instant now)
{
    if (!perSecond && m_limits.empty()) {
        return LimitChange::None;
    }
    auto it = m_limits.find(server);
    if (it != m_limits.end() && startedAt < it->second.notice.startedAt) {
        return LimitChange::None; // a late response of an earlier incarnation
    }
    if (it != m_limits.end() && startedAt > it->second.notice.startedAt) {
        m_limits.erase(it);
        it = m_limits.end();
    }
    if (!perSecond) {
        // A response to a request that was under way when the limit was named may be older than the limit.
        const bool hasEnded = it != m_limits.end() && it->second.notice.perSecond > 0 && sentAt > it->second.notice.at;
        if (!hasEnded) {
            return LimitChange::None;
        }
    }
    if (it == m_limits.end()) {
        if (m_limits.size() >= m_options.maxServers) {
            return LimitChange::None;
        }
        it = m_limits.try_emplace(std::string(server)).first;
    }
    const LimitNotice notice = {.server = std::string(server),
                                .startedAt = startedAt,
                                .perSecond = perSecond.value_or(0),
                                .number = it->second.notice.number + 1,
                                .vm = m_options.vm,
                                .at = now,
                                .numberedFrom = now};
    return apply(it->second, notice, now);
}

void ServerLimits::forget(std::string_view server)
{
    const auto it = m_limits.find(server);
    if (it != m_limits.end()) {
        m_limits.erase(it);
    }
}

std::vector<LimitNotice> ServerLimits::notices() const
{
    std::vector<LimitNotice> list;
    for (const auto &[server, it] : m_limits) {
        list.push_back(it.notice);
    }
    if (list.size() > MaxSharedNotices) {
        std::sort(list.begin(), list.end(), [](const LimitNotice &a, const LimitNotice &b) {
            return a.at > b.at;
        });
        list.resize(MaxSharedNotices);
    }
    return list;
}

std::vector<std::pair<LimitNotice, LimitChange>> ServerLimits::merge(const std::vector<LimitNotice> &notices, Instant now)
{
    std::vector<std::pair<LimitNotice, LimitChange>> changes;
    for (const LimitNotice &notice : notices) {
        if (m_limits.size() >= m_options.maxServers && !m_limits.contains(notice.server)) {
            continue;
        }
        Limit &it = m_limits[notice.server];
        if (notice.startedAt < it.notice.startedAt) {
            continue;
        }
        if (notice.startedAt > it.notice.startedAt) {
            it = {};
        }
        const bool isNewer = std::tie(notice.number, notice.vm) > std::tie(it.notice.number, it.notice.vm);
        if (!isNewer) {
            // Clocks differ by the time of an exchange; the earliest beginning is the most exact.
            if (notice.perSecond > 0 && it.notice.perSecond > 0 && notice.numberedFrom < it.notice.numberedFrom) {
                it.notice.numberedFrom = notice.numberedFrom;
                it.nextPermit.reset();
            }
            continue;
        }
        if (const LimitChange change = apply(it, notice, now); change != LimitChange::None) {
            changes.emplace_back(it.notice, change);
        }
    }
    return changes;
}

void ServerLimits::removeOld(Instant now)
{
    std::erase_if(m_limits, [&](const auto &it) {
        return it.second.notice.perSecond == 0 && now - it.second.notice.at > m_options.endedLifetime;
    });
}

std::optional<milliseconds> ServerLimits::exchangeInterval(Instant now) const
{
    const bool isOpen = std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &it) {
        return now - it.second.changedAt <= OpenTime;
    });
    const bool isInForce = std::any_of(m_limits.begin(), m_limits.end(), [](const auto &it) {
        return it.second.notice.perSecond > 0;
    });
    return isOpen ? std::optional(OftenInterval) : isInForce ? std::optional(SeldomInterval) : std::nullopt;
}

} // namespace auburndrum::decision
