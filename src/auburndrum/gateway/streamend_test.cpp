#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const QByteArray Unframed = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n";
const QByteArray Chunked = "HTTP/1.1 200 OK\r\nId: request-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray FirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const QByteArray LastEvent = "id: 3\ndata: c\n\n";

QByteArray asChunks(const QByteArray &body)
{
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n0\r\n\r\n";
}

/// A gateway whose only backend server sends these bytes to each new request, and the last event to one that is resumed, and closes in order.
struct ClosingServer
{
    explicit ClosingServer(const QByteArray &answer)
        : server([answer](QTcpSocket *socket, const QByteArray &request) {
            socket->write(request.contains("After: 2\r\n") ? Unframed + LastEvent : answer);
            socket->disconnectFromHost();
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &, int) {
              },
              true,
              [this](GatewayFixture &it, GatewayOptions &options) {
                  options.retries = {.ratio = 2, .window = 10s};
                  it.store.put("servers", "a", server.address());
                  it.store.put("servers", "b", server.address());
              })
    {
    }

    RawServer server;
    GatewayFixture gateway;
};

const std::vector<QByteArray> PartialEvents = {"i", "id: 3", "id: 3\n", "id: 3\nda", "id: 3\ndata: c", "id: 3\ndata: c\n"};

} // namespace

TEST_CASE("a stream without a length whose connection closes inside an event is cut, not complete")
{
    // Guards against an answer that a crashed server broke off and that reaches its caller as complete (ORDER): the close was taken for the end.
    for (const QByteArray &partial : PartialEvents) {
        CAPTURE(partial.toStdString());
        ClosingServer it(Unframed + FirstEvents + partial);
        const auto result = it.gateway.sendRequest("/brief/");
        CHECK(result.failure != net::HttpFailure::None);
        CHECK(it.gateway.lastLine("request")["outcome"] == "cut");
        CHECK(it.gateway.lastLine("request")["attempts"][0]["result"] == "broken_stream");
    }
}

TEST_CASE("a stream without a length whose connection closes inside an event is resumed after its last whole event where that is allowed")
{
    // Guards against a stream that is passed on as complete though another server could have gone on with it (ORDER).
    for (const QByteArray &partial : PartialEvents) {
        CAPTURE(partial.toStdString());
        ClosingServer it(Unframed + FirstEvents + partial);
        const auto result = it.gateway.sendRequest("/stream/");
        CHECK(result.failure == net::HttpFailure::None);
        CHECK(result.body == FirstEvents + LastEvent);
        CHECK(it.gateway.lastLine("request")["outcome"] == "served");
    }
}

TEST_CASE("a stream whose framing is complete and whose last event isn't is cut, not complete")
{
    // Guards against trusting the framing of an answer whose content shows that it was broken off (ORDER).
    for (const QByteArray &partial : PartialEvents) {
        CAPTURE(partial.toStdString());
        ClosingServer it(Chunked + asChunks(FirstEvents + partial));
        CHECK(it.gateway.sendRequest("/brief/").failure != net::HttpFailure::None);
        CHECK(it.gateway.lastLine("request")["outcome"] == "cut");
    }
}

TEST_CASE("a stream without a length that closes before its first event is no answer")
{
    // Guards against an empty stream that reaches its caller as complete when its server crashed after the header (ORDER).
    ClosingServer it(Unframed);
    CHECK(it.gateway.sendRequest("/brief/").head.status == 502);
    CHECK(it.gateway.lastLine("request")["outcome"] == "failed");
}

TEST_CASE("a stream without a length that ends after a whole event is complete")
{
    // Guards against giving up answers that end with their connection as they may.
    ClosingServer it(Unframed + FirstEvents + LastEvent);
    const auto result = it.gateway.sendRequest("/brief/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == FirstEvents + LastEvent);
}
