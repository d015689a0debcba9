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

/// What an order changes on a backend server.
enum class OrderKind {
    LoadVersion,
    LoadAdapter,
    SetRole,
};

/// An order to one backend server. It names a desired state, so that a repeated order changes nothing.
struct Order
{
    std::string server;
    OrderKind kind = OrderKind::LoadVersion;
    std::string value; ///< weight version, adapter or role
    Offset fencing = 0; ///< fencing number of the lease under which the order is sent
    bool operator==(const Order &) const = default;
};

/// The state that one backend server last reported.
struct ObservedServerState
{
    std::string server;
    std::string version; ///< weight version that it serves; empty while it serves none
    std::set<std::string> adapters;
    std::string role;
    bool isLeaving = false;
    bool isOrderable = true; ///< whether an order may leave now
};

/// The desired state of the servers of a service.
struct DesiredServiceState
{
    std::string version; ///< weight version; empty for any
    std::vector<std::string> adapters;
    std::map<std::string, std::string> roles; ///< by server; servers that are not listed keep their roles
};

/// Options of @ref OrderPlanner.
struct OrderPlannerOptions
{
    std::size_t maxConcurrentLoads = 2; ///< servers of a service that load at the same time; more loads from one weight store slow each other down
    std::chrono::milliseconds repeatInterval{2000}; ///< delay between equal orders to a server that does not report the desired state yet
    std::chrono::milliseconds loadTimeout{30000}; ///< a load without effect after this time no longer counts against maxConcurrentLoads
};

/// @brief Plans the orders of one service from the observed states of its servers.
///
/// An order is repeated until the server reports the desired state. This also corrects a server that ignores fencing
/// numbers and executed a late order of a former lease holder.
class OrderPlanner
{
public:
    explicit OrderPlanner(OrderPlannerOptions options = {});

    /// Returns the orders to send now under this fencing number, and counts them as sent.
    std::vector<Order> plan(Instant now, Offset fencing, const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers);

    /// Handles that an order shows no effect: it no longer counts against the load limit, and servers without an open order come before its repeat.
    void onNoEffect(const std::string &server);

    void setMaxConcurrentLoads(std::size_t loads);

    /// Handles that a server refused an order because its fencing number is outdated: a newer lease holder exists. No orders are planned under
    /// this number or a lower one any more.
    void onStaleFencing(Offset fencing);

    /// Servers that the last plan did not order to load because no other server would serve meanwhile.
    const std::vector<std::string> &blockedServers() const;

    /// Why the last plan held an order back that was due, by server.
    const std::map<std::string, const char *> &heldBack() const;

private:
    struct IssuedOrder
    {
        Order order;
        Instant firstIssued; ///< time of the first of equal orders
        Instant lastIssued; ///< time of the last repeat
        bool hasNoEffect = false;
    };

    std::optional<Order> neededOrder(const DesiredServiceState &desired, const ObservedServerState &server) const;
    std::set<std::string> loadingServers(Instant now) const;
    bool hasOtherServingServer(const std::string &server, const std::vector<ObservedServerState> &servers, const std::set<std::string> &loading) const;
    void removeCompleted(const DesiredServiceState &desired, const std::vector<ObservedServerState> &servers);
    bool isOrderDue(Instant now, const std::string &server) const;
    bool hasNoEffect(const std::string &server) const;

    OrderPlannerOptions m_options;
    Offset m_staleFencing = 0;
    std::map<std::string, IssuedOrder> m_issuedOrders; ///< by server
    std::vector<std::string> m_blockedServers;
    std::map<std::string, const char *> m_heldBack;
};

} // namespace auburndrum::decision
