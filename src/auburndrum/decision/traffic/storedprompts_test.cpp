#include "auburndrum/decision/traffic/cachescope.h"
#include "auburndrum/decision/traffic/storedprompts.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};
constexpr std::uint32_t TokenBytes = 1000;

StoredPrompts prompts()
{
    StoredPrompts it({.zone = "a1", .regionOfZone = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}});
    it.configure({{"10.0.0.1:1", "a1", 1000, 8e9, 500us, true}, {"10.0.0.2:1", "a2", 1000, 8e9, 500us, true}, {"10.1.0.1:1", "b1", 1000, 8e9, 500us, true}});
    return it;
}

PromptStoreUpdate holds(std::vector<StoredPromptChange> changes)
{
    PromptStoreUpdate it;
    it.incarnation = 1;
    it.changes = std::move(changes);
    return it;
}

} // namespace

TEST_CASE("a part is found in the nearest store of the engine's region")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    it.applyUpdate("10.0.0.2:1", holds({{true, "s", "p", 100}}));
    const auto here = it.findSource("s", {"p", 100}, "a1", TokenBytes);
    REQUIRE(here);
    CHECK(here->address == "10.0.0.1:1");
    CHECK(here->fetchTime == 600us); // 100 tokens of 8,000 bits at 8 Gbit/s take 100 us, and the store waits 500 us first
    CHECK(it.findSource("s", {"p", 100}, "a2", TokenBytes)->address == "10.0.0.2:1");
}

TEST_CASE("nothing is fetched between regions, under another scope, or that is gone")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    CHECK_FALSE(it.findSource("s", {"p", 100}, "b1", TokenBytes));
    CHECK_FALSE(it.findSource("t", {"p", 100}, "a1", TokenBytes));
    it.applyUpdate("10.0.0.1:1", holds({{false, "s", "p", 0}}));
    CHECK_FALSE(it.findSource("s", {"p", 100}, "a1", TokenBytes));
}

TEST_CASE("a store whose changes stopped is not read from, and one that started again is empty")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    it.markUnreachable("10.0.0.1:1");
    CHECK_FALSE(it.findSource("s", {"p", 100}, "a1", TokenBytes));
    it.applyUpdate("10.0.0.1:1", holds({}));
    CHECK(it.findSource("s", {"p", 100}, "a1", TokenBytes));
    PromptStoreUpdate restarted;
    restarted.incarnation = 2;
    it.applyUpdate("10.0.0.1:1", restarted);
    CHECK_FALSE(it.findSource("s", {"p", 100}, "a1", TokenBytes));
    CHECK(it.storedTokens("10.0.0.1:1") == 0);
}

TEST_CASE("a part is sent to one store of the region, once, and only while it has room")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({}));
    const std::string place = it.chooseStore("s", {"p", 100}, "a2", Start);
    CHECK(place == "10.0.0.1:1"); // the other store of the region has not answered yet
    CHECK(it.chooseStore("s", {"p", 100}, "a1", Start + 1s).empty());
    CHECK(it.chooseStore("s", {"p", 100}, "a1", Start + 4s) == place);
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "q", 900}}));
    CHECK(it.chooseStore("s", {"r", 100}, "a1", Start).empty());
}

TEST_CASE("a part that a store of the region holds is not sent again")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    it.applyUpdate("10.0.0.2:1", holds({}));
    CHECK(it.chooseStore("s", {"p", 100}, "a1", Start).empty());
}

TEST_CASE("parts under replaced scopes are listed up to a limit")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "m|1|", "p", 100}, {true, "m|1|", "q", 100}, {true, "m|2|", "p", 100}}));
    const auto isOld = [](std::string_view scope) {
        return weightVersionOfScope(scope, "m") == 1;
    };
    CHECK(it.staleParts("10.0.0.1:1", isOld, 10).size() == 2);
    CHECK(it.staleParts("10.0.0.1:1", isOld, 1).size() == 1);
}

TEST_CASE("parts that were freed are forgotten even when the store never tells")
{
    // Pattern: one change in a hundred is lost; the same three parts were freed once a second by each entry VM.
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "m|1|", "p", 100}}));
    const auto any = [](std::string_view) {
        return true;
    };
    const auto parts = it.staleParts("10.0.0.1:1", any, 10);
    it.removeFreed("10.0.0.1:1", 2, parts);
    CHECK(it.staleParts("10.0.0.1:1", any, 10).size() == 1);
    it.removeFreed("10.0.0.1:1", 1, parts);
    CHECK(it.staleParts("10.0.0.1:1", any, 10).empty());
    CHECK(it.storedTokens("10.0.0.1:1") == 0);
}

TEST_CASE("stores that a configuration drops are forgotten, others keep what they hold")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    it.applyUpdate("10.0.0.2:1", holds({{true, "s", "q", 100}}));
    it.configure({{"10.0.0.1:1", "a1", 1000, 8e9, 500us, true}});
    CHECK(it.findSource("s", {"p", 100}, "a1", TokenBytes));
    CHECK_FALSE(it.findSource("s", {"q", 100}, "a1", TokenBytes));
}

TEST_CASE("a scope tells its weights, and organisations that share with nobody have scopes of their own")
{
    CHECK(weightVersionOfScope(cacheScope("m", 12, ""), "m") == 12);
    CHECK(weightVersionOfScope(cacheScope("m", 12, "kattila"), "m") == 12);
    CHECK(cacheScope("m", 12, "kattila") != cacheScope("m", 12, ""));
    CHECK_FALSE(weightVersionOfScope(cacheScope("m2", 12, ""), "m"));
    CHECK_FALSE(weightVersionOfScope("m|x|", "m"));
    CHECK_FALSE(weightVersionOfScope("", "m"));
}
