#include "auburndrum/gateway/gateway.h"

#include "eventloop.h"
#include "fakestore.h"

#include <QTcpSocket>

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const net::Address AnyPort{QHostAddress(QStringLiteral("127.0.0.1")), 0};

/// A plain wire format: an id, a key and the server's id, nothing else.
Wire plainWire()
{
    Wire it;
    it.readRequest = [](const net::RequestHead &head) {
        RequestFacts facts;
        facts.id = net::headerValue(head.headers, "Id").toStdString();
        facts.host = net::headerValue(head.headers, "Host").toStdString();
        facts.apiKey = net::headerValue(head.headers, "Key").toStdString();
        return facts;
    };
    it.forwardHeaders = [](const net::RequestHead &, const ForwardFacts &facts) {
        return std::vector<net::Header>{{"Server", QByteArray::fromStdString(facts.serverId)},
                                        {"Left", QByteArray::number(static_cast<qint64>(facts.timeLeft.count()))},
                                        {"Organisation", QByteArray::fromStdString(facts.organisation)},
                                        {"After", QByteArray::fromStdString(facts.lastEventId)}};
    };
    it.readAnswer = [](const net::HttpHead &head) {
        AnswerFacts facts;
        facts.requestId = head.header("Id").toStdString();
        facts.isSealed = !head.header("Seal").isEmpty();
        facts.hasNotRun = !head.header("Not-Run").isEmpty();
        return facts;
    };
    it.answerHeaders = [](const net::HttpHead &head) {
        return std::vector<net::Header>{{"Seal", head.header("Seal")}};
    };
    return it;
}

decision::Route route(const std::string &name, decision::RequestKind kind, std::uint32_t maxServers, bool isResumable = false)
{
    decision::Route it;
    it.name = name;
    it.host = "host";
    it.pathPrefix = "/" + name + "/";
    it.kind = kind;
    it.targets = {{"service", 1}};
    it.timeout = 1000ms;
    it.targetLatency = 300ms;
    it.longestPause = 100ms;
    it.maxServers = maxServers;
    it.isResumable = isResumable;
    return it;
}

RecordReaders readers()
{
    RecordReaders it;
    it.isConfiguration = [](std::string_view key) {
        return key == "configuration";
    };
    it.isWeights = [](std::string_view) {
        return false;
    };
    it.readConfiguration = [](std::string_view value, std::string &problem) -> std::optional<decision::Configuration> {
        if (value == "broken") {
            problem = "is broken";
            return std::nullopt;
        }
        decision::Configuration configuration;
        configuration.version = std::stoull(std::string(value));
        configuration.routes = {route("once", decision::RequestKind::Unsafe, 2),
                                route("single", decision::RequestKind::Unsafe, 1),
                                route("safe", decision::RequestKind::Safe, 2),
                                route("stream", decision::RequestKind::Streaming, 2, true),
                                route("brief", decision::RequestKind::Streaming, 2)};
        if (configuration.version >= 5) {
            configuration.routes.pop_back();
        }
        configuration.needsKeys = true;
        configuration.organisations = {{"kattila", {}, false}};
        configuration.keys["key"] = 0;
        configuration.indexRoutes();
        return configuration;
    };
    it.readWeights = [](std::string_view, std::string &) {
        return std::nullopt;
    };
    it.readBackendServer = [](std::string_view id, std::string_view value, std::string &) {
        decision::BackendServer server;
        server.id = id;
        server.service = "service";
        server.address = value;
        server.zone = "zone";
        server.parallelRequests = 8;
        return std::optional(server);
    };
    return it;
}

/// A gateway between a store, two backend servers and a caller, in one process.
class Scene
{
public:
    using Answer = std::function<void(const std::shared_ptr<net::Exchange> &, int call)>;

    explicit Scene(Answer answer, bool isConfigured = true)
        : m_answer(std::move(answer))
    {
        GatewayOptions options;
        options.vm = "vm";
        options.zone = "zone";
        options.callers = AnyPort;
        options.readiness = AnyPort;
        options.operatorTopic = "operator";
        options.backendTopic = "servers";
        options.retries = {.ratio = 0.5, .window = 10s};
        options.stopGrace = 4s;
        options.writeLog = [this](std::string_view line) {
            log.push_back(nlohmann::json::parse(line));
        };
        for (auto &it : m_servers) {
            it = std::make_unique<net::HttpServer>(net::HttpServerOptions{}, [this](const std::shared_ptr<net::Exchange> &exchange) {
                seen.push_back(exchange);
                m_answer(exchange, static_cast<int>(seen.size()));
            });
            addresses.push_back(QByteArray::fromStdString(net::toText(it->listenOn(AnyPort))));
        }
        if (isConfigured) {
            store.put("operator", "configuration", "1");
        }
        store.put("servers", "a", addresses[0]);
        store.put("servers", "b", addresses[1]);
        gateway = std::make_unique<Gateway>(options, plainWire(), readers(), store.hooks(), EngineControl{});
        REQUIRE(gateway->start());
        const nlohmann::json &start = lineOf("start");
        callers = *net::parseAddress(start["callers"].get<std::string>());
        readiness = *net::parseAddress(start["readiness"].get<std::string>());
        runUntil([&] {
            return has("topic_synced", 2);
        });
    }

    bool has(const std::string &event, int count = 1)
    {
        return std::count_if(log.begin(),
                             log.end(),
                             [&](const nlohmann::json &it) {
                                 return it["event"] == event;
                             })
            >= count;
    }

    const nlohmann::json &lineOf(const std::string &event)
    {
        const auto it = std::find_if(log.rbegin(), log.rend(), [&](const nlohmann::json &line) {
            return line["event"] == event;
        });
        REQUIRE(it != log.rend());
        return *it;
    }

    net::HttpResult ask(const QByteArray &target, const QByteArray &method = "POST", const QByteArray &key = "key")
    {
        std::optional<net::HttpResult> result;
        net::HttpCall call;
        call.peer = callers;
        call.method = method;
        call.target = target;
        call.host = "host";
        call.headers = {{"Id", "request-1"}, {"Key", key}};
        call.body = "body";
        client.start(call, {.onDone = [&](const net::HttpResult &it) {
                         result = it;
                     }});
        runUntil([&] {
            return result.has_value();
        });
        REQUIRE(result);
        return *result;
    }

    std::vector<nlohmann::json> log;
    std::vector<std::shared_ptr<net::Exchange>> seen;
    std::vector<QByteArray> addresses;
    FakeStore store;
    net::Address callers;
    net::Address readiness;
    net::HttpClient client;
    std::unique_ptr<Gateway> gateway;

private:
    Answer m_answer;
    std::array<std::unique_ptr<net::HttpServer>, 2> m_servers;
};

const std::vector<net::Header> Sealed = {{"Id", "request-1"}, {"Seal", "s"}};

void answerWell(const std::shared_ptr<net::Exchange> &exchange, int /*call*/)
{
    exchange->respond(200, Sealed, "done");
}

} // namespace

TEST_CASE("a request reaches a backend server unchanged and its answer comes back")
{
    Scene it(answerWell);
    const auto result = it.ask("/once/a%2fb?x=1");
    CHECK(result.head.status == 200);
    CHECK(result.head.header("Seal") == "s");
    CHECK(result.body == "done");
    REQUIRE(it.seen.size() == 1);
    CHECK(it.seen[0]->head().target == "/once/a%2fb?x=1");
    CHECK(it.seen[0]->body() == "body");
    CHECK(it.seen[0]->header("Host") == "host");
    CHECK(it.seen[0]->header("Organisation") == "kattila");
    CHECK(it.seen[0]->header("Left").toInt() <= 1000);
    const auto &line = it.lineOf("request");
    CHECK(line["outcome"] == "served");
    CHECK(line["request"] == "request-1");
    CHECK(line["attempts"].size() == 1);
}

TEST_CASE("unknown routes and keys are refused here, and nothing before the first configuration is")
{
    Scene it(answerWell);
    CHECK(it.ask("/nowhere/").head.status == 404);
    CHECK(it.ask("/once/", "POST", "other").head.status == 401);
    CHECK(it.seen.empty());
    Scene unconfigured(answerWell, false);
    const auto result = unconfigured.ask("/nowhere/");
    CHECK(result.head.status == 503);
    CHECK_FALSE(result.head.header("Retry-After").isEmpty());
}

TEST_CASE("what may have run once is never sent again, and is not called \"not run\"")
{
    // Pattern: backend servers that run a request and lose its answer.
    Scene it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->abort();
    });
    CHECK(it.ask("/once/").head.status == 502);
    CHECK(it.seen.size() == 1);
    CHECK(it.lineOf("request")["outcome"] == "failed");
}

TEST_CASE("what a server refused without running goes to another one, as far as its route allows")
{
    const auto refuse = [](int which) {
        return [which](const std::shared_ptr<net::Exchange> &exchange, int call) {
            if (call == which) {
                exchange->respond(503, {{"Id", "request-1"}, {"Not-Run", "1"}}, {});
                return;
            }
            exchange->respond(200, Sealed, "done");
        };
    };
    Scene single(refuse(1));
    const auto result = single.ask("/single/");
    CHECK(result.head.status == 503);
    CHECK(result.head.header("Retry-After").toDouble() > 0);
    CHECK(single.seen.size() == 1);
    Scene early(refuse(1));
    CHECK(early.ask("/once/").head.status == 503); // the first request earns half an extra attempt, which is none
    Scene late(refuse(3));
    for (int n = 0; n < 3; ++n) {
        CHECK(late.ask("/once/").head.status == 200);
    }
    CHECK(late.seen.size() == 4);
    CHECK(late.seen[2]->header("Server") != late.seen[3]->header("Server"));
}

TEST_CASE("a safe request that fails is tried at another server, and its own failure is passed on when that fails too")
{
    Scene it([](const std::shared_ptr<net::Exchange> &exchange, int call) {
        exchange->respond(call == 4 ? 200 : 500, Sealed, "answer " + QByteArray::number(call));
    });
    it.ask("/safe/");
    const auto result = it.ask("/safe/");
    CHECK(result.head.status == 500);
    CHECK(result.head.header("Seal") == "s");
    CHECK(it.ask("/safe/").head.status == 200);
}

TEST_CASE("answers without the server's seal, or to another request, reach nobody")
{
    Scene it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->respond(200, {{"Id", "request-1"}}, "forged");
    });
    CHECK(it.ask("/once/").head.status == 502);
    Scene other([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->respond(200, {{"Id", "request-0"}, {"Seal", "s"}}, "another's");
    });
    CHECK(other.ask("/once/").head.status == 504);
}

TEST_CASE("a broken stream goes on at another server behind its last whole event")
{
    // Pattern: a crash in the middle of an event.
    Scene it([](const std::shared_ptr<net::Exchange> &exchange, int call) {
        exchange->startStream(200, Sealed);
        if (call == 2) {
            exchange->writeChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            QTimer::singleShot(50ms, [exchange] {
                exchange->abort();
            });
            return;
        }
        exchange->writeChunk(call == 1 ? "id: 9\ndata: z\n\n" : "id: 3\ndata: c\n\n");
        exchange->finishStream();
    });
    it.ask("/stream/"); // earns half an extra attempt
    const auto result = it.ask("/stream/");
    CHECK(result.failure == net::HttpFailure::None);
    CHECK(result.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    REQUIRE(it.seen.size() == 3);
    CHECK(it.seen[2]->header("After") == "2");
}

TEST_CASE("a broken stream that can't be resumed does not look whole")
{
    Scene it([](const std::shared_ptr<net::Exchange> &exchange, int) {
        exchange->startStream(200, Sealed);
        exchange->writeChunk("id: 1\ndata: a\n\n");
        QTimer::singleShot(50ms, [exchange] {
            exchange->abort();
        });
    });
    CHECK(it.ask("/brief/").failure != net::HttpFailure::None);
    CHECK(it.lineOf("request")["outcome"] == "cut");
    CHECK(it.seen.size() == 1);
}

TEST_CASE("the caller has its answer when the route's time is over, and the server is left")
{
    Scene it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    const auto begin = monotonicNow();
    CHECK(it.ask("/single/").head.status == 504);
    CHECK(monotonicNow() - begin < 1400ms);
    CHECK(runUntil([&] {
        return !it.seen[0]->isOpen();
    }));
}

TEST_CASE("a caller that leaves ends the work for it")
{
    Scene it([](const std::shared_ptr<net::Exchange> &, int) {
    });
    QTcpSocket socket;
    socket.connectToHost(it.callers.host, it.callers.port);
    socket.write("POST /single/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&] {
        return it.seen.size() == 1;
    }));
    socket.abort();
    CHECK(runUntil(
        [&] {
            return !it.seen[0]->isOpen();
        },
        500ms));
    CHECK(it.lineOf("request")["outcome"] == "caller_gone");
}

TEST_CASE("an older configuration never replaces a newer one, and a broken one is skipped")
{
    Scene it(answerWell);
    it.store.put("operator", "configuration", "5");
    REQUIRE(runUntil([&] {
        return it.ask("/brief/").head.status == 404;
    }));
    it.store.put("operator", "configuration", "4");
    it.store.put("operator", "configuration", "broken");
    REQUIRE(runUntil([&] {
        return it.has("record_skipped");
    }));
    CHECK(it.ask("/brief/").head.status == 404);
    CHECK(it.ask("/once/").head.status == 200);
}

TEST_CASE("a server whose entry goes gets nothing new")
{
    Scene it(answerWell);
    it.store.put("servers", "a", std::nullopt);
    REQUIRE(runUntil([&] {
        return it.lineOf("backend_server")["change"] == "removed";
    }));
    for (int n = 0; n < 5; ++n) {
        it.ask("/once/");
    }
    for (const auto &exchange : it.seen) {
        CHECK(exchange->header("Server") == "b");
    }
}

TEST_CASE("a planned stop answers what is under way, says so, and then takes no connection")
{
    std::shared_ptr<net::Exchange> waiting;
    Scene it([&](const std::shared_ptr<net::Exchange> &exchange, int) {
        waiting = exchange;
    });
    bool isStopped = false;
    QTcpSocket socket;
    QByteArray answer;
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket, [&] {
        answer += socket.readAll();
    });
    socket.connectToHost(it.callers.host, it.callers.port);
    socket.write("POST /single/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&] {
        return waiting != nullptr;
    }));
    it.gateway->stop([&] {
        isStopped = true;
    });
    net::HttpCall ready;
    ready.peer = it.readiness;
    ready.target = "/readiness";
    int status = 0;
    it.client.start(ready, {.onDone = [&](const net::HttpResult &result) {
                        status = result.head.status;
                    }});
    CHECK(runUntil([&] {
        return status == 503;
    }));
    waiting->respond(200, Sealed, "done");
    CHECK(runUntil([&] {
        return answer.endsWith("done");
    }));
    CHECK(answer.contains("Connection: close"));
    CHECK(runUntil([&] {
        return isStopped;
    }));
    QTcpSocket late;
    late.connectToHost(it.callers.host, it.callers.port);
    runFor(200ms);
    CHECK(late.state() != QAbstractSocket::ConnectedState);
}
