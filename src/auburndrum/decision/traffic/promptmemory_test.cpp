#include "auburndrum/decision/traffic/promptmemory.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;

namespace {

Prompt prompt(std::vector<PromptPart> parts)
{
    Prompt it;
    it.model = "m";
    for (const PromptPart &part : parts) {
        it.inputTokens += part.tokens;
    }
    it.parts = std::move(parts);
    return it;
}

} // namespace

TEST_CASE("parts count as cached from the start of a prompt to the first unknown one")
{
    PromptMemory it(10000);
    it.remember("s", prompt({{"a", 100}, {"b", 200}, {"c", 50}}));
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}, {"d", 70}})) == 300);
    CHECK(it.cachedTokens("s", prompt({{"x", 100}, {"b", 200}})) == 0);
}

TEST_CASE("another scope knows none of them")
{
    PromptMemory it(10000);
    it.remember("s", prompt({{"a", 100}}));
    CHECK(it.cachedTokens("t", prompt({{"a", 100}})) == 0);
}

TEST_CASE("the least recently used part is forgotten first, and a prompt's end before its beginning")
{
    PromptMemory it(400);
    it.remember("s", prompt({{"a", 100}, {"b", 200}}));
    it.remember("s", prompt({{"a", 100}, {"c", 200}}));
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"c", 200}})) == 300);
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}})) == 100);
}

TEST_CASE("less room forgets at once")
{
    PromptMemory it(1000);
    it.remember("s", prompt({{"a", 100}, {"b", 200}}));
    it.setCapacity(150);
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}})) == 100);
}

TEST_CASE("a prompt's home is decided by its last shared part")
{
    CHECK(homeKey(prompt({{"a", 1}, {"b", 1}, {"own", 1}})) == "b");
    CHECK(homeKey(prompt({{"own", 1}})) == "own");
    CHECK(homeKey(prompt({})).empty());
}
