#include "auburndrum/gateway/keptlog.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;

namespace {

const std::string Store = "10.0.0.1:1";

decision::StoredPrompts prompts()
{
    decision::StoredPrompts it({.zone = "a1"});
    it.configure({{Store, "a1", 1000, 8e9, {}, true}});
    return it;
}

decision::PromptStoreUpdate added(const std::string &part, std::uint64_t next)
{
    return {.incarnation = 1, .nextChange = next, .changes = {{true, "scope", part, 10}}};
}

} // namespace

TEST_CASE("a reader gets the news since its last question, once")
{
    const decision::StoredPrompts kept = prompts();
    KeptLog log("log-1", kept);
    log.add(Store, added("p1", 1));
    const KeptSlice first = log.since("log-1", 0);
    REQUIRE(first.news.size() == 1);
    CHECK(first.news[0].report->changes[0].part == "p1");
    log.add(Store, added("p2", 2));
    log.addLost(Store);
    const KeptSlice second = log.since("log-1", first.next);
    REQUIRE(second.news.size() == 2);
    CHECK(second.news[0].report->nextChange == 2);
    CHECK_FALSE(second.news[1].report);
    CHECK(log.since("log-1", second.next).news.empty());
}

TEST_CASE("a reader of another log, or one that is far behind, gets all that is known")
{
    decision::StoredPrompts kept = prompts();
    KeptLog log("log-1", kept);
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        const auto report = added("p" + std::to_string(n % 3), n);
        kept.applyUpdate(Store, report);
        log.add(Store, report);
    }
    const std::vector<std::pair<std::string, std::uint64_t>> positions = {{"log-0", 4999}, {"log-1", 10}, {"log-1", 6000}, {"", 0}};
    for (const auto &[name, from] : positions) {
        const KeptSlice slice = log.since(name, from);
        REQUIRE(slice.news.size() == 1);
        CHECK(slice.log == "log-1");
        CHECK(slice.next == 5000);
        CHECK(slice.news[0].report->isSnapshot);
        CHECK(slice.news[0].report->nextChange == 5000);
        CHECK(slice.news[0].report->changes.size() == 3);
    }
    CHECK(log.since("log-1", 4990).news.size() == 10);
}

TEST_CASE("a store whose changes don't arrive is told as lost")
{
    const decision::StoredPrompts kept = prompts();
    const KeptLog log("log-1", kept);
    const KeptSlice slice = log.since("", 0);
    REQUIRE(slice.news.size() == 1);
    CHECK_FALSE(slice.news[0].report);
}
