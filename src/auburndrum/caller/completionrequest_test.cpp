#include "auburndrum/caller/completionrequest.h"

#include <doctest/doctest.h>

using namespace auburndrum::caller;

namespace {

std::string invalidFieldOf(CompletionKind kind, std::string_view body)
{
    const auto it = parseCompletion(kind, body);
    return it ? std::string("none") : it.error().param;
}

} // namespace

TEST_CASE("the fields of a text completion are parsed")
{
    const auto it = parseCompletion(CompletionKind::Text, R"({"model":"menu","prompt":"hello","stream":true,"max_tokens":5})");
    REQUIRE(it);
    CHECK(it.value().model == "menu");
    CHECK(it.value().prompt == "hello");
    CHECK(it.value().stream);
    CHECK(it.value().maxTokens == 5);
}

TEST_CASE("an error names the invalid field")
{
    CHECK(invalidFieldOf(CompletionKind::Text, "{") == "body");
    CHECK(invalidFieldOf(CompletionKind::Text, "[]") == "body");
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"prompt":"x"})") == "model");
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"model":7,"prompt":"x"})") == "model");
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"model":"m","prompt":["x"]})") == "prompt");
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"model":"m","prompt":"x","stream":"yes"})") == "stream");
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"model":"m","prompt":"x","max_tokens":0})") == "max_tokens");
    CHECK(invalidFieldOf(CompletionKind::Chat, R"({"model":"m","messages":[]})") == "messages");
    CHECK(invalidFieldOf(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user"},{"content":"x"}]})") == "messages[1].role");
    CHECK(invalidFieldOf(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":5}]})") == "messages[0].content");
}

TEST_CASE("a deeply nested body is refused before it is parsed")
{
    CHECK(invalidFieldOf(CompletionKind::Text, std::string(100000, '[')) == "body");
}

TEST_CASE("brackets inside a string don't count as nesting")
{
    CHECK(invalidFieldOf(CompletionKind::Text, R"({"model":"m","prompt":")" + std::string(1000, '[') + R"("})") == "none");
}

TEST_CASE("adjacent messages with a different split of the same text give different prompts")
{
    const auto one = parseCompletion(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"ab"},{"role":"user","content":"c"}]})");
    const auto two = parseCompletion(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"bc"}]})");
    CHECK(one.value().prompt != two.value().prompt);
}
