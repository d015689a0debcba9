#include "auburndrum/caller/completionrequest.h"

#include <doctest/doctest.h>

using namespace auburndrum::caller;

namespace {

std::string faultOf(CompletionKind kind, std::string_view body)
{
    const auto it = parseCompletion(kind, body);
    return it ? std::string("none") : it.error().param;
}

} // namespace

TEST_CASE("a text completion is read")
{
    const auto it = parseCompletion(CompletionKind::Text, R"({"model":"menu","prompt":"hello","stream":true,"max_tokens":5})");
    REQUIRE(it);
    CHECK(it.value().model == "menu");
    CHECK(it.value().prompt == "hello");
    CHECK(it.value().stream);
    CHECK(it.value().maxTokens == 5);
}

TEST_CASE("a fault names its field")
{
    CHECK(faultOf(CompletionKind::Text, "{") == "body");
    CHECK(faultOf(CompletionKind::Text, "[]") == "body");
    CHECK(faultOf(CompletionKind::Text, R"({"prompt":"x"})") == "model");
    CHECK(faultOf(CompletionKind::Text, R"({"model":7,"prompt":"x"})") == "model");
    CHECK(faultOf(CompletionKind::Text, R"({"model":"m","prompt":["x"]})") == "prompt");
    CHECK(faultOf(CompletionKind::Text, R"({"model":"m","prompt":"x","stream":"yes"})") == "stream");
    CHECK(faultOf(CompletionKind::Text, R"({"model":"m","prompt":"x","max_tokens":0})") == "max_tokens");
    CHECK(faultOf(CompletionKind::Chat, R"({"model":"m","messages":[]})") == "messages");
    CHECK(faultOf(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user"},{"content":"x"}]})") == "messages[1].role");
    CHECK(faultOf(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":5}]})") == "messages[0].content");
}

TEST_CASE("a body nested without end is refused before it is read")
{
    CHECK(faultOf(CompletionKind::Text, std::string(100000, '[')) == "body");
}

TEST_CASE("brackets inside text are no nesting")
{
    CHECK(faultOf(CompletionKind::Text, R"({"model":"m","prompt":")" + std::string(1000, '[') + R"("})") == "none");
}

TEST_CASE("neighbouring messages don't run into each other in the prompt")
{
    const auto one = parseCompletion(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"ab"},{"role":"user","content":"c"}]})");
    const auto two = parseCompletion(CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"bc"}]})");
    CHECK(one.value().prompt != two.value().prompt);
}
