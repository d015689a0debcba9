#include "auburndrum/decision/traffic/loadboard.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

} // namespace

TEST_CASE("the newest report of a server counts, whoever saw it and in whichever order they arrive")
{
    LoadBoard board(2000ms);
    CHECK(board.put("s", {5, 0, 8}, Start, LoadOrigin::Self, Start));
    CHECK_FALSE(board.put("s", {1, 0, 8}, Start - 100ms, LoadOrigin::Zone, Start));
    CHECK(board.put("s", {6, 2, 8}, Start + 100ms, LoadOrigin::Elsewhere, Start + 200ms));
    const auto list = board.since(0, LoadOrigin::Elsewhere, Start + 300ms);
    REQUIRE(list.size() == 1);
    CHECK(list[0].report == LoadReport{6, 2, 8});
    CHECK(list[0].age == 200ms);
}

TEST_CASE("a reader gets each report once, and none that came from farther than it asks for")
{
    LoadBoard board(2000ms);
    board.put("own", {1, 0, 8}, Start, LoadOrigin::Self, Start);
    board.put("zone", {2, 0, 8}, Start, LoadOrigin::Zone, Start);
    board.put("far", {3, 0, 8}, Start, LoadOrigin::Elsewhere, Start);
    CHECK(board.since(0, LoadOrigin::Self, Start).size() == 1);
    CHECK(board.since(0, LoadOrigin::Zone, Start).size() == 2);
    CHECK(board.since(0, LoadOrigin::Elsewhere, Start).size() == 3);
    CHECK(board.since(board.newest(), LoadOrigin::Elsewhere, Start).empty());
    board.put("own", {4, 0, 8}, Start + 10ms, LoadOrigin::Self, Start + 10ms);
    CHECK(board.since(3, LoadOrigin::Elsewhere, Start + 10ms).size() == 1);
}

TEST_CASE("old reports are neither taken nor told")
{
    LoadBoard board(2000ms);
    CHECK_FALSE(board.put("s", {5, 0, 8}, Start, LoadOrigin::Zone, Start + 2001ms));
    board.put("s", {5, 0, 8}, Start, LoadOrigin::Zone, Start);
    CHECK(board.since(0, LoadOrigin::Zone, Start + 2001ms).empty());
    board.expire(Start + 2001ms);
    CHECK(board.put("s", {1, 0, 8}, Start + 2001ms, LoadOrigin::Self, Start + 2001ms));
}
