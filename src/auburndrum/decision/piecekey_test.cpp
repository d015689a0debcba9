#include "auburndrum/decision/packedkey.h"
#include "auburndrum/decision/piecekey.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;

namespace {

constexpr std::uint32_t PieceTokens = 10;

std::string prompt(std::size_t pieces, char fill = 'a')
{
    return std::string(pieces * PieceTokens * BytesPerToken, fill);
}

} // namespace

TEST_CASE("only complete pieces get keys")
{
    KeyNames names;
    const PromptPieces pieces = splitPrompt(names, "kattila", "v1", prompt(3) + "rest", PieceTokens);
    CHECK(pieces.keys.size() == 3);
    CHECK(pieces.promptTokens == 31);
}

TEST_CASE("a key depends on all text before it")
{
    KeyNames names;
    const auto first = splitPrompt(names, "kattila", "v1", prompt(1, 'a') + prompt(1, 'c'), PieceTokens);
    const auto second = splitPrompt(names, "kattila", "v1", prompt(1, 'b') + prompt(1, 'c'), PieceTokens);
    CHECK_FALSE(first.keys[1] == second.keys[1]);
}

TEST_CASE("the same prompt of two organisations shares no key")
{
    KeyNames names;
    const auto first = splitPrompt(names, "kattila", "v1", prompt(4), PieceTokens);
    const auto second = splitPrompt(names, "pattila", "v1", prompt(4), PieceTokens);
    for (std::size_t n = 0; n < first.keys.size(); ++n) {
        CHECK_FALSE(first.keys[n] == second.keys[n]);
        CHECK(first.keys[n].hashLow != second.keys[n].hashLow);
    }
}

TEST_CASE("the same prompt for two weight versions shares no key")
{
    KeyNames names;
    const auto first = splitPrompt(names, "kattila", "v1", prompt(1), PieceTokens);
    const auto second = splitPrompt(names, "kattila", "v2", prompt(1), PieceTokens);
    CHECK_FALSE(first.keys[0] == second.keys[0]);
    CHECK(first.keys[0].hashLow != second.keys[0].hashLow);
}

TEST_CASE("keys with equal hashes differ by organisation and by weight version")
{
    const PieceKey key{1, 1, 42, 43};
    const PieceKey otherOrganisation{2, 1, 42, 43};
    const PieceKey otherVersion{1, 2, 42, 43};
    CHECK_FALSE(key == otherOrganisation);
    CHECK_FALSE(key == otherVersion);
    CHECK_FALSE(pack(key) == pack(otherOrganisation));
    CHECK_FALSE(pack(key) == pack(otherVersion));
}

TEST_CASE("packed keys with the largest organisation and version ids differ")
{
    const PieceKey key{KeyNames::MaxOrganisations - 1, 0, 1, 2};
    const PieceKey other{KeyNames::MaxOrganisations - 2, KeyNames::MaxVersions - 1, 1, 2};
    CHECK_FALSE(pack(key) == pack(other));
}

TEST_CASE("a formatted key is parsed with the name table of another process")
{
    KeyNames names;
    KeyNames others;
    others.organisations.add("someone else");
    const auto pieces = splitPrompt(names, "Eväsreitti, Oy:1", "v1/a", prompt(2), PieceTokens);
    const std::string text = toText(names, pieces.keys[1]);
    CHECK(text.find_first_of(", \"\r\n") == std::string::npos);
    const auto key = parsePieceKey(others, text);
    REQUIRE(key.has_value());
    CHECK(others.organisations.name(key->organisation) == "Eväsreitti, Oy:1");
    CHECK(toText(others, *key) == text);
}

TEST_CASE("malformed key text is rejected")
{
    KeyNames names;
    for (const char *text :
         {"", "a:b", "a:b:c", "a:b:0123456789abcdef0123456789abcdeg", "a%2:b:0123456789abcdef0123456789abcdef", "a b:c:0123456789abcdef0123456789abcdef"}) {
        CHECK_FALSE(parsePieceKey(names, text).has_value());
    }
}

TEST_CASE("a full name table yields no keys rather than shared ones")
{
    KeyNames names;
    names.organisations = NameTable(1);
    names.organisations.add("kattila");
    CHECK(splitPrompt(names, "poyta", "v1", prompt(2), PieceTokens).keys.empty());
    CHECK(splitPrompt(names, "kattila", "v1", prompt(2), PieceTokens).keys.size() == 2);
}
