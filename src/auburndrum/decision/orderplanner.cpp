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

std::vector<Order> OrderPlanner::plan(Instant now, Offset fencing, const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers)
{
    m_blockedServers.clear();
    m_heldBack.clear();
    if (fencing <= m_staleFencing) {
        return {};
    }
    removeCompleted(desired, servers);
    std::set<std::string> busy = loadingServers(now);
    std::vector<ObservedServerState> candidates = servers;
    std::stable_partition(candidates.begin(), candidates.end(), [this](const ObservedServerState &it) {
        return !hasNoEffect(it.server);
    });
    std::vector<Order> orders;
    for (const ObservedServerState &server : candidates) {
        std::optional<Order> order = neededOrder(desired, server);
        if (!order || !server.isOrderable || !isOrderDue(now, server.server)) {
            continue;
        }
        const bool isLoad = order->kind != OrderKind::SetRole;
        const bool isNewLoad = isLoad && !busy.contains(server.server);
        if (isNewLoad && busy.size() >= m_options.maxConcurrentLoads) {
            m_heldBack[server.server] = "load limit";
            continue;
        }
        const bool isServing = !server.version.empty();
        if (isNewLoad && isServing && !hasOtherServingServer(server.server, servers, busy)) {
            m_blockedServers.push_back(server.server);
            m_heldBack[server.server] = "no other server would serve";
            continue;
        }
        if (isLoad) {
            busy.insert(server.server);
        }
        order->fencing = fencing;
        const auto issued = m_issuedOrders.find(server.server);
        const bool isRepeated = issued != m_issuedOrders.end() && !issued->second.hasNoEffect && isSame(issued->second.order, *order);
        m_issuedOrders[server.server] = {*order, isRepeated ? issued->second.firstIssued : now, now};
        orders.push_back(std::move(*order));
    }
    return orders;
}

void OrderPlanner::onNoEffect(const std::string &server)
{
    const auto it = m_issuedOrders.find(server);
    if (it != m_issuedOrders.end()) {
        it->second.hasNoEffect = true;
    }
}

void OrderPlanner::setMaxConcurrentLoads(std::size_t loads)
{
    m_options.maxConcurrentLoads = loads;
}

void OrderPlanner::onStaleFencing(Offset fencing)
{
    m_staleFencing = std::max(m_staleFencing, fencing);
}

const std::vector<std::string> &OrderPlanner::blockedServers() const
{
    return m_blockedServers;
}

const std::map<std::string, const char *> &OrderPlanner::heldBack() const
{
    return m_heldBack;
}

std::optional<Order> OrderPlanner::neededOrder(const DesiredServiceState &desired, const ObservedServerState &server) const
{
    if (server.isLeaving) {
        return std::nullopt;
    }
    if (!desired.version.empty() && server.version != desired.version) {
        return Order{server.server, OrderKind::LoadVersion, desired.version, 0};
    }
    for (const std::string &it : desired.adapters) {
        if (!server.adapters.contains(it)) {
            return Order{server.server, OrderKind::LoadAdapter, it, 0};
        }
    }
    const auto role = desired.roles.find(server.server);
    if (role != desired.roles.end() && role->second != server.role) {
        return Order{server.server, OrderKind::SetRole, role->second, 0};
    }
    return std::nullopt;
}

std::set<std::string> OrderPlanner::loadingServers(Instant now) const
{
    std::set<std::string> names;
    for (const auto &[name, issued] : m_issuedOrders) {
        const bool isLoad = issued.order.kind != OrderKind::SetRole;
        if (isLoad && !issued.hasNoEffect && now < issued.firstIssued + m_options.loadTimeout) {
            names.insert(name);
        }
    }
    return names;
}

bool OrderPlanner::hasOtherServingServer(const std::string &server, const std::vector<ObservedServerState> &servers, const std::set<std::string> &loading) const
{
    const auto serves = [&](const ObservedServerState &it) {
        return it.server != server && !it.version.empty() && !it.isLeaving && !loading.contains(it.server);
    };
    return std::any_of(servers.begin(), servers.end(), serves);
}

void OrderPlanner::removeCompleted(const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers)
{
    std::map<std::string, IssuedOrder> open;
    for (const ObservedServerState &it : servers) {
        const auto issued = m_issuedOrders.find(it.server);
        const std::optional<Order> order = neededOrder(desired, it);
        if (issued != m_issuedOrders.end() && order && isSame(*order, issued->second.order)) {
            open.insert(*issued);
        }
    }
    m_issuedOrders = std::move(open);
}

bool OrderPlanner::isOrderDue(Instant now, const std::string &server) const
{
    const auto it = m_issuedOrders.find(server);
    return it == m_issuedOrders.end() || now >= it->second.lastIssued + m_options.repeatInterval;
}

bool OrderPlanner::hasNoEffect(const std::string &server) const
{
    const auto it = m_issuedOrders.find(server);
    return it != m_issuedOrders.end() && it->second.hasNoEffect;
}

} // namespace auburndrum::decision
