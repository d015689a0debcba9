#include "standins/engine/tokens.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

TEST_CASE("answers follow from the prompt and differ between prompts")
{
    const std::string hash = promptHash("a menu for Monday");
    CHECK(answerText(hash, 2) == "t0-" + hash + " t1-" + hash + " ");
    CHECK(promptHash("a menu for Tuesday") != hash);
    CHECK(promptTokens("12345") == 2);
}

TEST_CASE("exported bytes have the asked length and belong to one organisation")
{
    CHECK(kvBlockBytes("kattila", "v1", "k", 100).size() == 100);
    CHECK(kvBlockBytes("kattila", "v1", "k", 100) != kvBlockBytes("poyta", "v1", "k", 100));
}
