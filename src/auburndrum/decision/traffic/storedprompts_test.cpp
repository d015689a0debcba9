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

TEST_CASE("a part is not found in another region, under another scope, or after its removal")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    CHECK_FALSE(it.findSource("s", {"p", 100}, "b1", TokenBytes));
    CHECK_FALSE(it.findSource("t", {"p", 100}, "a1", TokenBytes));
    it.applyUpdate("10.0.0.1:1", holds({{false, "s", "p", 0}}));
    CHECK_FALSE(it.findSource("s", {"p", 100}, "a1", TokenBytes));
}

TEST_CASE("an unreachable store is not a source, and a restarted store is empty")
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

TEST_CASE("a part is sent once to one store of the region, and only while the store has free capacity")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({}));
    const std::string place = it.chooseStore("s", {"p", 100}, "a2", Start);
    CHECK(place == "10.0.0.1:1"); // the other store of the region has sent no update yet
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

TEST_CASE("freed parts are removed even when the store never reports it")
{
    // Guards against freeing the same parts again and again: one change in a hundred is lost, and each entry VM then
    // freed the same three parts once a second.
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

TEST_CASE("a configuration removes stores that it doesn't list; the others keep their contents")
{
    StoredPrompts it = prompts();
    it.applyUpdate("10.0.0.1:1", holds({{true, "s", "p", 100}}));
    it.applyUpdate("10.0.0.2:1", holds({{true, "s", "q", 100}}));
    it.configure({{"10.0.0.1:1", "a1", 1000, 8e9, 500us, true}});
    CHECK(it.findSource("s", {"p", 100}, "a1", TokenBytes));
    CHECK_FALSE(it.findSource("s", {"q", 100}, "a1", TokenBytes));
}

TEST_CASE("a scope names its weight version, and organisations with a private cache have separate scopes")
{
    CHECK(weightVersionOfScope(cacheScope("m", 12, ""), "m") == 12);
    CHECK(weightVersionOfScope(cacheScope("m", 12, "kattila"), "m") == 12);
    CHECK(cacheScope("m", 12, "kattila") != cacheScope("m", 12, ""));
    CHECK_FALSE(weightVersionOfScope(cacheScope("m2", 12, ""), "m"));
    CHECK_FALSE(weightVersionOfScope("m|x|", "m"));
    CHECK_FALSE(weightVersionOfScope("", "m"));
}
