#include "auburndrum/base/socketaddress.h"

#include <doctest/doctest.h>

using namespace auburndrum;

TEST_CASE("socket addresses are numeric and round trip")
{
    for (const std::string text : {"127.0.0.1:0", "10.1.2.3:65535", "[::1]:8080"}) {
        const auto address = parseSocketAddress(text);
        REQUIRE(address.has_value());
        CHECK(toText(*address) == text);
    }
}

TEST_CASE("malformed socket addresses are refused")
{
    for (const std::string text :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:8x", "::1:80", "[]:80", "[127.0.0.1]:80"}) {
        CAPTURE(text);
        CHECK_FALSE(parseSocketAddress(text).has_value());
    }
}

TEST_CASE("loopback addresses are recognised")
{
    CHECK(isLoopback({"127.0.0.7", 80}));
    CHECK(isLoopback({"::1", 80}));
    CHECK_FALSE(isLoopback({"10.0.0.1", 80}));
}
