#include "standins/engine/orders.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

TEST_CASE("an engine that checks fencing refuses an older number")
{
    OrderHandler handler("v1");
    CHECK(handler.accept({7, OrderKind::LoadVersion, "v2"}, true));
    CHECK_FALSE(handler.accept({6, OrderKind::LoadVersion, "v3"}, true));
    CHECK(handler.accept({7, OrderKind::LoadVersion, "v2"}, true));
    CHECK(handler.accept({6, OrderKind::LoadVersion, "v3"}, false));
}

TEST_CASE("an order is reached once carried out")
{
    OrderHandler handler("v1");
    const Order order{1, OrderKind::LoadAdapter, "allergens"};
    CHECK_FALSE(handler.isReached(order));
    handler.carryOut(order);
    CHECK(handler.isReached(order));
}
