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

TEST_CASE("events are returned as soon as they are complete, whether lines end with LF, CR LF or CR")
{
    // Guards against streams with other line ends than LF, which were held back until they ended and so were late as a whole.
    for (const QByteArray lineEnd : {"\n", "\r\n", "\r"}) {
        CAPTURE(lineEnd.toHex().toStdString());
        const QByteArray event = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
        const QByteArray stream = event + event + "data: [DONE]" + lineEnd + lineEnd;
        for (qsizetype size = 1; size <= stream.size(); ++size) {
            EventSplitter splitter;
            QByteArray returned;
            for (qsizetype n = 0; n < stream.size(); n += size) {
                returned += splitter.feed(stream.mid(n, size));
                const qsizetype wholeEvents = std::min<qsizetype>(2, (n + size) / event.size());
                CHECK(returned.size() >= wholeEvents * event.size());
            }
            CHECK(returned == stream);
            CHECK(splitter.events() == 2);
            CHECK(splitter.isDone());
        }
    }
}

TEST_CASE("an event that lacks the last byte of its blank line is incomplete")
{
    // Guards against taking a stream for whole that was broken off between the CR and the LF of its last line.
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\r\ndata: a\r\n\r").isEmpty());
    CHECK(splitter.incompleteEventBytes() > 0);
    CHECK(splitter.feed("\n") == "id: 1\r\ndata: a\r\n\r\n");
    CHECK(splitter.incompleteEventBytes() == 0);
}

TEST_CASE("blank lines and comments between events belong to no event")
{
    // Guards against taking a stream for broken off that ends with a comment or one blank line more.
    EventSplitter splitter;
    CHECK(splitter.feed(": ping\n") == ": ping\n");
    CHECK(splitter.feed("data: a\n\n\n: ping\n") == "data: a\n\n\n: ping\n");
    CHECK(splitter.incompleteEventBytes() == 0);
    CHECK(splitter.events() == 1);
}
