#include "auburndrum/net/eventsplitter.h"

#include <doctest/doctest.h>

using auburndrum::net::EventSplitter;

TEST_CASE("whole events pass, whatever the parts they come in")
{
    const QByteArray stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    for (qsizetype size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        QByteArray passed;
        for (qsizetype n = 0; n < stream.size(); n += size) {
            const QByteArray part = splitter.feed(stream.mid(n, size));
            CHECK((part.isEmpty() || part.endsWith("\n\n")));
            passed += part;
        }
        CHECK(passed == stream);
        CHECK(splitter.events() == 2);
        CHECK(splitter.isDone());
    }
}

TEST_CASE("a partial event is held back and can be dropped")
{
    EventSplitter splitter;
    CHECK(splitter.feed("data: 1\n\ndata: 2") == "data: 1\n\n");
    CHECK(splitter.partialBytes() == 7);
    splitter.dropPartial();
    CHECK(splitter.feed("data: 2\n\n") == "data: 2\n\n");
    CHECK(splitter.events() == 2);
    CHECK_FALSE(splitter.isDone());
}

TEST_CASE("a token that quotes the closing mark doesn't end the stream")
{
    EventSplitter splitter;
    splitter.feed("data: {\"text\":\"data: [DONE]\"}\n\n");
    CHECK_FALSE(splitter.isDone());
    CHECK(splitter.events() == 1);
}
