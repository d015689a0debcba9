#include "auburndrum/base/randomid.h"

#include <doctest/doctest.h>

#include <set>

TEST_CASE("random ids are 32 hex digits and differ")
{
    std::set<std::string> seen;
    for (int n = 0; n < 1000; ++n) {
        const std::string it = auburndrum::randomId();
        CHECK(it.size() == 32);
        CHECK(it.find_first_not_of("0123456789abcdef") == std::string::npos);
        CHECK(seen.insert(it).second);
    }
}
