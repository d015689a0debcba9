#include "standins/platform/recordlog.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::standins;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};
constexpr WallTime Wall{1'000'000s};

} // namespace

TEST_CASE("offsets start at 1 and reads continue from any kept offset")
{
    RecordLog log({});
    CHECK(log.append("a", Start, Wall).value() == 1);
    CHECK(log.append("b", Start, Wall).value() == 2);
    const LogPage page = log.read(2, 10, Wall).value();
    CHECK(page.first == 1);
    CHECK(page.next == 3);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records[0].value == "b");
    CHECK(log.read(3, 10, Wall).value().records.empty());
}

TEST_CASE("records go by count and by age, and a read below the first is refused")
{
    RecordLog log({.retentionRecords = 2, .retentionTime = 10s});
    for (int n = 0; n < 3; ++n) {
        REQUIRE(log.append("x", Start, Wall));
    }
    CHECK(log.bounds().first == 2);
    CHECK(log.read(1, 10, Wall).error() == LogError::Gone);
    CHECK(log.read(4, 10, Wall + 11s).value().first == 4);
}

TEST_CASE("appends above the rate are refused until a second's share is back")
{
    RecordLog log({.appendsPerSecond = 2});
    CHECK(log.append("a", Start, Wall));
    CHECK(log.append("b", Start, Wall));
    CHECK(log.append("c", Start, Wall).error() == LogError::RateLimited);
    CHECK(log.append("c", Start + 500ms, Wall).value() == 3);
}
