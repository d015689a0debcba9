#include "standins/engine/prefixcache.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

TEST_CASE("only the leading run of held pieces counts, and only for its organisation")
{
    PrefixCache cache(100'000, 2000);
    cache.store("kattila", {"a", "b"});
    CHECK(cache.heldPrefix("kattila", {"a", "b", "c"}) == 2);
    CHECK(cache.heldPrefix("kattila", {"x", "a"}) == 0);
    CHECK(cache.heldPrefix("poyta", {"a", "b"}) == 0);
}

TEST_CASE("memory is limited, and a prefix loses its last pieces first")
{
    PrefixCache cache(6000, 2000);
    cache.store("kattila", {"a", "b", "c", "d"});
    CHECK(cache.usedTokens() == 6000);
    CHECK(cache.heldPrefix("kattila", {"a", "b", "c", "d"}) == 3);
    cache.store("kattila", {"z"});
    CHECK(cache.heldPrefix("kattila", {"a", "b", "c"}) == 2);
}

TEST_CASE("events carry rising numbers, and dropped ones leave a gap")
{
    PrefixCache cache(100'000, 2000);
    cache.store("kattila", {"a"});
    cache.events().dropNext(1);
    cache.store("kattila", {"b"});
    cache.store("kattila", {"c"});
    const CacheEventPage page = cache.events().read(0);
    CHECK(page.next == 4);
    REQUIRE(page.events.size() == 2);
    CHECK(page.events[0].number == 1);
    CHECK(page.events[1].number == 3);
    CHECK(cache.events().read(3).events.size() == 1);
}
