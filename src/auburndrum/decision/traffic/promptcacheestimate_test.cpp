#include "auburndrum/decision/traffic/promptcacheestimate.h"

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
    PromptCacheEstimate it(10000);
    it.recordPrompt("s", prompt({{"a", 100}, {"b", 200}, {"c", 50}}));
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}, {"d", 70}})) == 300);
    CHECK(it.cachedTokens("s", prompt({{"x", 100}, {"b", 200}})) == 0);
}

TEST_CASE("parts cached under one scope don't count under another")
{
    PromptCacheEstimate it(10000);
    it.recordPrompt("s", prompt({{"a", 100}}));
    CHECK(it.cachedTokens("t", prompt({{"a", 100}})) == 0);
}

TEST_CASE("the least recently used part is evicted first, and a prompt's end before its beginning")
{
    PromptCacheEstimate it(400);
    it.recordPrompt("s", prompt({{"a", 100}, {"b", 200}}));
    it.recordPrompt("s", prompt({{"a", 100}, {"c", 200}}));
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"c", 200}})) == 300);
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}})) == 100);
}

TEST_CASE("reducing the capacity evicts immediately")
{
    PromptCacheEstimate it(1000);
    it.recordPrompt("s", prompt({{"a", 100}, {"b", 200}}));
    it.setCapacity(150);
    CHECK(it.cachedTokens("s", prompt({{"a", 100}, {"b", 200}})) == 100);
}

TEST_CASE("the affinity key is the id of the last shared part")
{
    CHECK(affinityKey(prompt({{"a", 1}, {"b", 1}, {"own", 1}})) == "b");
    CHECK(affinityKey(prompt({{"own", 1}})) == "own");
    CHECK(affinityKey(prompt({})).empty());
}
