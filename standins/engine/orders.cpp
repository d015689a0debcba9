#include "standins/engine/orders.h"

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

std::optional<OrderKind> orderKindByName(std::string_view name)
{
    if (name == "load_version") {
        return OrderKind::LoadVersion;
    }
    if (name == "load_adapter") {
        return OrderKind::LoadAdapter;
    }
    if (name == "role") {
        return OrderKind::Role;
    }
    return std::nullopt;
}

OrderHandler::OrderHandler(std::string version)
    : m_version(std::move(version))
{
}

bool OrderHandler::accept(const Order &order, bool checksFencing)
{
    if (checksFencing && order.fencing < m_highestFencing) {
        return false;
    }
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    return true;
}

void OrderHandler::carryOut(const Order &order)
{
    switch (order.kind) {
    case OrderKind::LoadVersion:
        m_version = order.value;
        break;
    case OrderKind::LoadAdapter:
        m_adapters.insert(order.value);
        break;
    case OrderKind::Role:
        m_role = order.value;
        break;
    }
}

bool OrderHandler::isReached(const Order &order) const
{
    switch (order.kind) {
    case OrderKind::LoadVersion:
        return m_version == order.value;
    case OrderKind::LoadAdapter:
        return m_adapters.contains(order.value);
    case OrderKind::Role:
        return m_role == order.value;
    }
    return false;
}

const std::string &OrderHandler::version() const
{
    return m_version;
}

const std::set<std::string> &OrderHandler::adapters() const
{
    return m_adapters;
}

const std::string &OrderHandler::role() const
{
    return m_role;
}

} // namespace auburndrum::standins
