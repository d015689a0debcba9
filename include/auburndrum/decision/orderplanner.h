#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// What an order asks for.
enum class OrderKind {
    LoadVersion,
    LoadAdapter,
    SetRole,
};

/// An order to one backend server: the wanted condition, so that giving it twice changes nothing.
struct Order
{
    std::string server;
    OrderKind kind = OrderKind::LoadVersion;
    std::string value;
    Offset fencing = 0;
    bool operator==(const Order &) const = default;
};

/// What one backend server last reported of itself.
struct ObservedServerState
{
    std::string server;
    std::string version; ///< weight version served; empty while it serves none
    std::set<std::string> adapters;
    std::string role;
    bool isLeaving = false;
};

/// The condition that the servers of a service are to be in.
struct DesiredServiceState
{
    std::string version; ///< empty: any
    std::vector<std::string> adapters;
    std::map<std::string, std::string> roles; ///< by server; servers without one keep theirs
};

/// Options of the order planner.
struct OrderPlannerOptions
{
    std::size_t maxConcurrentLoads = 2; ///< at once from one weight store; more slow each other down
    std::chrono::milliseconds repeatInterval{2000}; ///< between equal orders that show no effect yet
    std::chrono::milliseconds loadTimeout{30000}; ///< then a load that shows no effect frees its place
};

/// @brief Plans the orders of one service from what its servers report.
///
/// An order is repeated until the server reports the wanted condition. That also mends a server that
/// ignores fencing and took a late order of a stale lease holder.
class OrderPlanner
{
public:
    explicit OrderPlanner(OrderPlannerOptions options = {});

    /// The orders to give now under this fencing number.
    std::vector<Order> plan(Instant now, Offset fencing, const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers);

    /// A server refused an order as stale: a newer holder exists. Nothing is planned under this number or a lower one any more.
    void onStaleFencing(Offset fencing);

    /// Servers kept from a load by the last plan, since no other one would serve meanwhile.
    const std::vector<std::string> &blockedServers() const;

private:
    struct IssuedOrder
    {
        Order order;
        Instant firstIssued;
        Instant lastIssued;
    };

    std::optional<Order> neededOrder(const DesiredServiceState &desired, const ObservedServerState &server) const;
    std::set<std::string> loadingServers(Instant now) const;
    bool hasOtherServingServer(const std::string &server, const std::vector<ObservedServerState> &servers, const std::set<std::string> &loading) const;
    void removeCompleted(const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers);
    bool isOrderDue(Instant now, const std::string &server) const;

    OrderPlannerOptions m_options;
    Offset m_staleFencing = 0;
    std::map<std::string, IssuedOrder> m_issuedOrders; ///< by server
    std::vector<std::string> m_blockedServers;
};

} // namespace auburndrum::decision
