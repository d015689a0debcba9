#include "auburndrum/net/requestparser.h"

#include <doctest/doctest.h>

using namespace auburndrum::net;

namespace {

constexpr qint64 MaxHeaderBytes = 16 * 1024;
constexpr qsizetype BlockBytes = 4 * 1024;
constexpr qsizetype AllowedUnparsedBytes = 64 * 1024;
const QByteArray Chunked = "POST / HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds `begin`, and then `block` again and again, until the parser reports an error or holds back too many bytes.
RequestParser::Error feedWithoutEnd(const QByteArray &begin, const QByteArray &block)
{
    RequestParser parser(MaxHeaderBytes, 8 * 1024 * 1024, [](const char * /*data*/, std::size_t /*size*/) {
    });
    QByteArray input = begin;
    auto error = RequestParser::Error::None;
    while (error == RequestParser::Error::None && input.size() <= AllowedUnparsedBytes) {
        input += block;
        input.remove(0, parser.feed(input, error));
        if (error == RequestParser::Error::None) {
            input.remove(0, parser.feed(input, error)); // put() returns after the header
        }
    }
    return error;
}

} // namespace

// Each case guards against a VM that runs out of memory, since a caller sends a request whose chunk header or trailers have no end.

TEST_CASE("a chunk extension without end in a request")
{
    CHECK(feedWithoutEnd(Chunked + "4;x=", QByteArray(BlockBytes, 'a')) != RequestParser::Error::None);
}

TEST_CASE("a trailer without end in a request")
{
    CHECK(feedWithoutEnd(Chunked + "0\r\nX: ", QByteArray(BlockBytes, 'a')) != RequestParser::Error::None);
}

TEST_CASE("trailers without end in a request")
{
    CHECK(feedWithoutEnd(Chunked + "0\r\n", QByteArray("X: a\r\n").repeated(BlockBytes / 6)) != RequestParser::Error::None);
}

TEST_CASE("a request with an extension and trailers of usual size is complete")
{
    RequestParser parser(MaxHeaderBytes, 8 * 1024 * 1024, [](const char * /*data*/, std::size_t /*size*/) {
    });
    QByteArray input = Chunked + "4;x=" + QByteArray(1024, 'a') + "\r\nbody\r\n0\r\nX: " + QByteArray(1024, 'a') + "\r\n\r\n";
    auto error = RequestParser::Error::None;
    for (qsizetype used = 1; used > 0 && !parser.isDone();) {
        used = parser.feed(input, error);
        input.remove(0, used);
    }
    CHECK(error == RequestParser::Error::None);
    CHECK(parser.isDone());
}
