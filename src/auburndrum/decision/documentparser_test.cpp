#include "auburndrum/decision/documentparser.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::filesystem::path repository()
{
    return AUBURNDRUM_SOURCE_DIR;
}

/// A valid service document with one field set or replaced.
std::string serviceWith(const std::string &field, const nlohmann::json &value)
{
    nlohmann::json json{{"document", "service"}, {"name", "s"}, {"owner_team", "t"}, {"kind", "engine"}, {"weight_version", "v1"}};
    json[field] = value;
    return json.dump();
}

DocumentErrors errorsOf(std::string_view json)
{
    auto document = parseDocument(json);
    return document.has_value() ? DocumentErrors{} : document.error();
}

} // namespace

TEST_CASE("fields that a service document leaves out get their defaults")
{
    const auto document = parseServiceDocument(
        R"({"document":"service","name":"s","owner_team":"t","kind":"engine","weight_version":"v1","organisations":[{"name":"o","priority":2}],"token_gap_limit_ms":750})");
    REQUIRE(document.has_value());
    CHECK(document.value().name == "s");
    CHECK(document.value().tokenGapLimit == 750ms);
    CHECK(document.value().requestTimeout == ServiceDocument{}.requestTimeout);
    CHECK(document.value().repeatable);
    REQUIRE(document.value().organisations.size() == 1);
    CHECK(document.value().organisations[0].organisation == "o");
    CHECK(document.value().organisations[0].priority == 2);
    CHECK(document.value().organisations[0].share == 1.0);
}

TEST_CASE("all errors are reported at once, with path and reason")
{
    const auto errors = errorsOf(R"({"document":"service","name":"a b","kind":"engine","weight_version":"v1","piece_tokens":"many","colour":"red",
        "organisations":[{"name":"o","share":0},{"name":"o","priority":10},{"nane":"p"}],"weights":{"link":-1}})");
    const DocumentErrors expected{
        {"/name", "given \"a b\", allowed: 1 to 64 letters, digits, '_' or '-'"},
        {"/owner_team", "missing"},
        {"/organisations/0/share", "given 0, allowed: number above 0, at most 1000"},
        {"/organisations/1/priority", "given 10, allowed: whole number, 0 to 9"},
        {"/organisations/2/name", "missing"},
        {"/organisations/2/nane", "unknown field"},
        {"/weights/link", "given -1, allowed: number from 0, at most 1000"},
        {"/piece_tokens", "given \"many\", allowed: whole number, 16 to 1000000"},
        {"/colour", "unknown field"},
        {"/organisations/1/name", "\"o\" is listed twice"},
    };
    CHECK(errors == expected);
}

TEST_CASE("text that is not JSON is refused with line and column")
{
    CHECK(errorsOf("{\n  \"name\": oops\n}") == DocumentErrors{{"line 2, column 11", "not JSON here"}});
    CHECK(errorsOf("[]") == DocumentErrors{{"/", "given list of 0, allowed: object"}});
    CHECK(errorsOf(R"({"name":"s","name":"t"})") == DocumentErrors{{"/", "field \"name\" is given twice in one object"}});
    CHECK(errorsOf(std::string(100, '[') + std::string(100, ']'))[0].reason == "nested more than 16 levels deep");
}

TEST_CASE("fields are checked against each other")
{
    CHECK(errorsOf(serviceWith("weight_version", ""))[0].path == "/weight_version");
    CHECK(errorsOf(serviceWith("lookup_path", "/v1/lookup"))[0].path == "/lookup_path");
    CHECK(errorsOf(serviceWith("kind", "plain"))[0].path == "/weight_version");
    CHECK(errorsOf(serviceWith("request_timeout_ms", 3000))[0].path == "/first_token_deadline_ms");
    CHECK(errorsOf(serviceWith("token_gap_limit_ms", 120001))[0].path == "/token_gap_limit_ms");
}

TEST_CASE("bounds of numbers are allowed, values past them and other types are not")
{
    for (const nlohmann::json &it : {nlohmann::json(16), nlohmann::json(1000000)}) {
        CHECK(errorsOf(serviceWith("piece_tokens", it)).empty());
    }
    for (const nlohmann::json &it : {nlohmann::json(15),
                                     nlohmann::json(1000001),
                                     nlohmann::json(-1),
                                     nlohmann::json(16.5),
                                     nlohmann::json(nullptr),
                                     nlohmann::json(18446744073709551615U)}) {
        CHECK(errorsOf(serviceWith("piece_tokens", it)).size() == 1);
    }
}

TEST_CASE("a parser of one kind of document rejects another kind")
{
    const auto document = parseTeamDocument(serviceWith("name", "s"));
    REQUIRE_FALSE(document.has_value());
    CHECK(toText(document.error()[0]) == R"(/document: given "service", allowed: "team")");
}

TEST_CASE("the examples are valid and stay the same when written and parsed again")
{
    std::size_t count = 0;
    for (const auto &it : std::filesystem::directory_iterator(repository() / "examples/documents")) {
        CAPTURE(it.path().string());
        const auto document = parseDocument(readFile(it.path()));
        REQUIRE(document.has_value());
        const std::string written = toJson(document.value());
        const auto again = parseDocument(written);
        REQUIRE(again.has_value());
        CHECK(toJson(again.value()) == written);
        CHECK(kindOf(again.value()) == kindOf(document.value()));
        ++count;
    }
    CHECK(count >= 4);
}

TEST_CASE("the published schema matches the fields")
{
    CHECK(readFile(repository() / "docs/service-document.schema.json") == documentSchema());
}

TEST_CASE("a damaged document is either rejected with errors or read as a valid one")
{
    const std::string intact = readFile(repository() / "examples/documents/menu-assistant.json");
    std::mt19937 random(20261203);
    std::size_t refused = 0;
    for (int n = 0; n < 5000; ++n) {
        std::string damaged = intact;
        for (int it = 0; it < 3; ++it) {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        damaged.resize(damaged.size() - random() % 3);
        const auto document = parseDocument(damaged);
        if (document.has_value()) {
            CHECK(parseDocument(toJson(document.value())).has_value());
            continue;
        }
        CHECK_FALSE(document.error().empty());
        ++refused;
    }
    CHECK(refused > 2000);
}
