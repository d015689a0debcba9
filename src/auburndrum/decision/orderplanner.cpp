#include "auburndrum/decision/orderplanner.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

bool isSame(const Order &a, const Order &b)
{
    return a.kind == b.kind && a.value == b.value;
}

} // namespace

OrderPlanner::OrderPlanner(OrderPlannerOptions options)
    : m_options(options)
{
}

std::vector<Order> OrderPlanner::plan(Instant now, Offset fencing, const WantedCondition &wanted, const std::vector<ServerCondition> &servers)
{
    m_blocked.clear();
    if (fencing <= m_staleFencing) {
        return {};
    }
    forgetReached(wanted, servers);
    std::set<std::string> busy = loading(now);
    std::vector<Order> orders;
    for (const ServerCondition &server : servers) {
        std::optional<Order> order = wantedOrder(wanted, server);
        if (!order || !isRepeatDue(now, server.server)) {
            continue;
        }
        const bool isLoad = order->kind != OrderKind::Role;
        const bool isNewLoad = isLoad && !busy.contains(server.server);
        if (isNewLoad && busy.size() >= m_options.maxLoads) {
            continue;
        }
        const bool isServing = !server.version.empty();
        if (isNewLoad && isServing && !hasOtherServing(server.server, servers, busy)) {
            m_blocked.push_back(server.server);
            continue;
        }
        if (isLoad) {
            busy.insert(server.server);
        }
        order->fencing = fencing;
        const auto given = m_given.find(server.server);
        const bool isRepeated = given != m_given.end() && isSame(given->second.order, *order);
        m_given[server.server] = {*order, isRepeated ? given->second.first : now, now};
        orders.push_back(std::move(*order));
    }
    return orders;
}

void OrderPlanner::staleFencing(Offset fencing)
{
    m_staleFencing = std::max(m_staleFencing, fencing);
}

const std::vector<std::string> &OrderPlanner::blocked() const
{
    return m_blocked;
}

std::optional<Order> OrderPlanner::wantedOrder(const WantedCondition &wanted, const ServerCondition &server) const
{
    if (server.isLeaving) {
        return std::nullopt;
    }
    if (!wanted.version.empty() && server.version != wanted.version) {
        return Order{server.server, OrderKind::LoadVersion, wanted.version, 0};
    }
    for (const std::string &it : wanted.adapters) {
        if (!server.adapters.contains(it)) {
            return Order{server.server, OrderKind::LoadAdapter, it, 0};
        }
    }
    const auto role = wanted.roles.find(server.server);
    if (role != wanted.roles.end() && role->second != server.role) {
        return Order{server.server, OrderKind::Role, role->second, 0};
    }
    return std::nullopt;
}

std::set<std::string> OrderPlanner::loading(Instant now) const
{
    std::set<std::string> names;
    for (const auto &[name, given] : m_given) {
        const bool isLoad = given.order.kind != OrderKind::Role;
        if (isLoad && now < given.first + m_options.loadTimeout) {
            names.insert(name);
        }
    }
    return names;
}

bool OrderPlanner::hasOtherServing(const std::string &server, const std::vector<ServerCondition> &servers, const std::set<std::string> &loading) const
{
    const auto serves = [&](const ServerCondition &it) {
        return it.server != server && !it.version.empty() && !it.isLeaving && !loading.contains(it.server);
    };
    return std::any_of(servers.begin(), servers.end(), serves);
}

void OrderPlanner::forgetReached(const WantedCondition &wanted, const std::vector<ServerCondition> &servers)
{
    std::map<std::string, Given> open;
    for (const ServerCondition &it : servers) {
        const auto given = m_given.find(it.server);
        const std::optional<Order> order = wantedOrder(wanted, it);
        if (given != m_given.end() && order && isSame(*order, given->second.order)) {
            open.insert(*given);
        }
    }
    m_given = std::move(open);
}

bool OrderPlanner::isRepeatDue(Instant now, const std::string &server) const
{
    const auto it = m_given.find(server);
    return it == m_given.end() || now >= it->second.last + m_options.repeatInterval;
}

} // namespace auburndrum::decision
