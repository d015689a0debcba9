#include "auburndrum/net/eventsplitter.h"

#include <doctest/doctest.h>

using auburndrum::net::EventSplitter;

TEST_CASE("only complete events are returned, however the stream is split into parts")
{
    const QByteArray stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    for (qsizetype size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        QByteArray returned;
        for (qsizetype n = 0; n < stream.size(); n += size) {
            const QByteArray part = splitter.feed(stream.mid(n, size));
            CHECK((part.isEmpty() || part.endsWith("\n\n")));
            returned += part;
        }
        CHECK(returned == stream);
        CHECK(splitter.events() == 2);
        CHECK(splitter.isDone());
    }
}

TEST_CASE("an incomplete event is buffered and can be discarded")
{
    EventSplitter splitter;
    CHECK(splitter.feed("data: 1\n\ndata: 2") == "data: 1\n\n");
    CHECK(splitter.incompleteEventBytes() == 7);
    splitter.discardIncompleteEvent();
    CHECK(splitter.feed("data: 2\n\n") == "data: 2\n\n");
    CHECK(splitter.events() == 2);
    CHECK_FALSE(splitter.isDone());
}

TEST_CASE("a token that contains \"data: [DONE]\" doesn't end the stream")
{
    EventSplitter splitter;
    splitter.feed("data: {\"text\":\"data: [DONE]\"}\n\n");
    CHECK_FALSE(splitter.isDone());
    CHECK(splitter.events() == 1);
}
