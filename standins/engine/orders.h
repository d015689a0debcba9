#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace auburndrum::standins {

/// What an order asks the engine to reach.
enum class OrderKind {
    LoadVersion,
    LoadAdapter,
    Role,
};

/// Returns the kind with this wire name, or nothing when there is none.
std::optional<OrderKind> orderKindByName(std::string_view name);

/// One order to the engine.
struct Order
{
    std::uint64_t fencing = 0;
    OrderKind kind = OrderKind::LoadVersion;
    std::string value;
};

/// What the engine serves, and whose orders it takes.
class OrderHandler
{
public:
    explicit OrderHandler(std::string version);

    /// Whether the order may be carried out; remembers its fencing number when it may.
    bool accept(const Order &order, bool checksFencing);

    /// Makes the order's wanted condition true.
    void carryOut(const Order &order);

    /// Whether the wanted condition holds already.
    bool isReached(const Order &order) const;

    const std::string &version() const;
    const std::set<std::string> &adapters() const;
    const std::string &role() const;

private:
    std::uint64_t m_highestFencing = 0;
    std::string m_version;
    std::set<std::string> m_adapters;
    std::string m_role = "mixed";
};

} // namespace auburndrum::standins
