#include "auburndrum/net/httpserver.h"
#include "eventloop.h"
#include "rawcaller.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const net::Address AnyPort{QHostAddress(QStringLiteral("127.0.0.1")), 0};
const QByteArray Request = requestText("/x", "body");

/// A server that answers each request at once, and what it reported.
struct AnsweringServer
{
    explicit AnsweringServer(net::HttpServerOptions options = {}, bool answers = true)
        : server(withReport(std::move(options)),
                 [this, answers](const std::shared_ptr<net::Exchange> &exchange) {
                     ++requests;
                     if (answers) {
                         exchange->respond(200, {}, "done");
                     }
                 })
        , address(server.listenOn(AnyPort))
    {
    }

    net::HttpServerOptions withReport(net::HttpServerOptions options)
    {
        options.onUnfinishedClose = [this](const net::UnfinishedClose &close) {
            closes.push_back(close);
        };
        return options;
    }

    std::vector<net::UnfinishedClose> closes;
    int requests = 0;
    net::HttpServer server;
    net::Address address;
};

} // namespace

// Guards against requests that vanish without a trace: their connection was closed before they were read, and no line told so.
TEST_CASE("a connection that is closed in the middle of a request is reported with the bytes that lay on it")
{
    net::HttpServerOptions options;
    options.bodyTimeout = 50ms;
    options.idleTimeout = 50ms;
    options.bodyStreamingThreshold = 2;
    AnsweringServer it(options, false);
    RawCaller caller(it.address);
    caller.send(Request.left(Request.size() - 1));
    REQUIRE(runUntil([&] {
        return !it.closes.empty();
    }));
    CHECK(std::string(it.closes[0].reason) == "body time");
    CHECK(it.closes[0].partialBytes == Request.size() - 1);
}

// Guards against a request that is lost in a planned stop: only what the event loop had read counted as a request, and closing a connection whose bytes are
// unread resets it.
TEST_CASE("a request that has arrived before its idle connection is closed is answered")
{
    AnsweringServer it;
    RawCaller caller(it.address);
    runFor(20ms);
    it.server.closeAfterAnswers();
    caller.send(Request);
    it.server.closeIdleConnections();
    runFor(100ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
    CHECK(it.closes.empty());
}

// Guards against connections that are reset in a planned stop though the system had accepted them, with whole requests, before the server stopped to listen.
TEST_CASE("connections that wait to be accepted when the server stops to listen are served")
{
    AnsweringServer it;
    it.server.closeAfterAnswers();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 20; ++n) {
        callers.push_back(std::make_unique<RawCaller>(it.address));
        callers.back()->send(Request);
    }
    it.server.stopListening();
    it.server.closeIdleConnections();
    runFor(200ms);
    for (const auto &caller : callers) {
        CHECK(caller->readAll().startsWith("HTTP/1.1 200"));
    }
}

// Guards against a connection that is closed in a planned stop between its accept and its first request, which is on its way.
TEST_CASE("a new connection has a moment for its first request before it counts as idle")
{
    AnsweringServer it;
    it.server.closeAfterAnswers();
    RawCaller caller(it.address);
    RawCaller silent(it.address);
    runFor(20ms);
    it.server.closeIdleConnections(100ms);
    caller.send(Request);
    runFor(20ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
    CHECK(it.server.connectionCount() == 1);
    runFor(100ms);
    it.server.closeIdleConnections(100ms);
    runFor(20ms);
    CHECK(it.server.connectionCount() == 0);
}

// Guards against a refusal that is lost: the connection over the limit was closed with its request unread, which resets it.
TEST_CASE("a request over the limit of connections is refused, and its caller can read that")
{
    net::HttpServerOptions options;
    options.maxConnections = 1;
    AnsweringServer it(options);
    RawCaller first(it.address);
    runFor(20ms);
    std::vector<std::unique_ptr<RawCaller>> others;
    for (int n = 0; n < 20; ++n) {
        others.push_back(std::make_unique<RawCaller>(it.address));
        others.back()->send(Request);
    }
    runFor(100ms);
    for (const auto &caller : others) {
        CHECK(caller->readAll().startsWith("HTTP/1.1 503"));
        CHECK(caller->send(Request) == Request.size());
    }
    CHECK(it.requests == 0);
    first.send(Request);
    runFor(20ms);
    CHECK(first.readAll().startsWith("HTTP/1.1 200"));
    runFor(700ms);
    CHECK(it.server.connectionCount() == 1);
}

// Guards against a caller who is cut off in the middle of a body because the server itself had paused reading it for longer than the idle time.
TEST_CASE("time in which the server doesn't read a body is not the caller's")
{
    net::HttpServerOptions options;
    options.idleTimeout = 100ms;
    options.bodyStreamingThreshold = 0;
    bool isWhole = false;
    net::HttpServer server(options, [&](const std::shared_ptr<net::Exchange> &exchange) {
        exchange->setOnBodyPart([exchange, &isWhole](const QByteArray & /*part*/, bool last) {
            isWhole = last;
            if (last) {
                exchange->respond(200, {}, "done");
            }
        });
        exchange->setBodyPaused(true);
        QTimer::singleShot(300ms, [exchange] {
            exchange->setBodyPaused(false);
        });
    });
    RawCaller caller(server.listenOn(AnyPort));
    caller.send(Request.left(Request.size() - 1));
    runFor(50ms);
    caller.send(Request.right(1));
    runFor(500ms);
    CHECK(isWhole);
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
}

// Guards against callers whose connection closes under them after the configuration allowed longer pauses: its timer ran on from the shorter time.
TEST_CASE("a longer idle time holds for connections that are idle when it comes into force")
{
    net::HttpServerOptions options;
    options.idleTimeout = 200ms;
    AnsweringServer it(options);
    RawCaller caller(it.address);
    runFor(100ms);
    options.idleTimeout = 600ms;
    it.server.setOptions(options);
    runFor(300ms);
    CHECK(it.server.connectionCount() == 1);
    caller.send(Request);
    runFor(20ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
    options.idleTimeout = 100ms;
    it.server.setOptions(options); // the caller doesn't know it yet
    runFor(300ms);
    CHECK(it.server.connectionCount() == 1);
    runFor(500ms);
    CHECK(it.server.connectionCount() == 0);
}

// Guards against a body that meets the close of its connection: a shorter time for pauses came into force between two parts, or a longer one didn't.
TEST_CASE("a streamed body may pause for the longer of the times that held when its request began and that hold now")
{
    for (const bool isShortened : {true, false}) {
        CAPTURE(isShortened);
        net::HttpServerOptions options;
        options.idleTimeout = isShortened ? 2s : 300ms;
        options.bodyStreamingThreshold = 0;
        net::HttpServer server(options, [](const std::shared_ptr<net::Exchange> &exchange) {
            exchange->setOnBodyPart([exchange](const QByteArray & /*part*/, bool last) {
                if (last) {
                    exchange->respond(200, {}, "done");
                }
            });
        });
        RawCaller caller(server.listenOn(AnyPort));
        caller.send(Request.left(Request.size() - 2));
        runFor(50ms);
        options.idleTimeout = isShortened ? 100ms : 2s;
        server.setOptions(options);
        caller.send(Request.mid(Request.size() - 2, 1));
        runFor(600ms);
        caller.send(Request.right(1));
        runFor(50ms);
        CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
    }
}

// Guards against a request that is refused for good though it was allowed when its caller began to send it: smaller limits came into force meanwhile (DENIED).
TEST_CASE("a request whose head is half read keeps the limits under which it began")
{
    net::HttpServerOptions options;
    AnsweringServer it(options);
    RawCaller caller(it.address);
    caller.send(Request.left(20));
    runFor(50ms);
    options.maxHeaderBytes = 10;
    options.maxBodyBytes = 1;
    it.server.setOptions(it.withReport(options));
    caller.send(Request.mid(20));
    runFor(50ms);
    CHECK(caller.readAll().startsWith("HTTP/1.1 200"));
}
