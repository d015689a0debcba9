#include "standins/platform/vmlist.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

TEST_CASE("a change shows only after the lag")
{
    constexpr Instant Start{1h};
    VmList list(2s);
    VmRecord vm;
    vm.name = "entry-1";
    vm.state = "live";
    list.put(vm, Start);
    CHECK(list.visible(Start + 1s).empty());
    REQUIRE(list.visible(Start + 2s).size() == 1);
    list.remove("entry-1", Start + 3s);
    CHECK(list.visible(Start + 4s).size() == 1);
    CHECK(list.visible(Start + 5s).empty());
}
