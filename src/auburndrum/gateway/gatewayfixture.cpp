#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

namespace auburndrum::gateway {

using namespace std::chrono_literals;

namespace {

const net::Address AnyPort{QHostAddress(QStringLiteral("127.0.0.1")), 0};

/// A plain wire format: an id, a key and the server's id, nothing else.
Wire plainWire()
{
    Wire it;
    it.readRequest = [](const net::RequestHead &head) {
        RequestMetadata metadata;
        metadata.id = net::headerValue(head.headers, "Id").toStdString();
        metadata.host = net::headerValue(head.headers, "Host").toStdString();
        metadata.apiKey = net::headerValue(head.headers, "Key").toStdString();
        if (const QByteArray patience = net::headerValue(head.headers, "Patience"); !patience.isEmpty()) {
            metadata.callerTimeout = std::chrono::milliseconds(patience.toInt());
        }
        metadata.lastEventId = net::headerValue(head.headers, "Last").toStdString();
        metadata.resumedAttempt = net::headerValue(head.headers, "Resumes").toStdString();
        const QByteArray model = net::headerValue(head.headers, "Model");
        if (!model.isEmpty()) {
            metadata.prompt = decision::Prompt{.model = model.toStdString(), .inputTokens = 100, .maxOutputTokens = 10, .parts = {}};
            const QByteArray parts = net::headerValue(head.headers, "Parts");
            for (const QByteArray &part : parts.isEmpty() ? QList<QByteArray>() : parts.split(',')) {
                metadata.prompt->parts.push_back({part.toStdString(), 30});
            }
        }
        return metadata;
    };
    it.forwardHeaders = [](const net::RequestHead &head, const ForwardMetadata &metadata) {
        return std::vector<net::Header>{{"Attempt", net::headerValue(head.headers, "Id")},
                                        {"Parts", net::headerValue(head.headers, "Parts")},
                                        {"Server", QByteArray::fromStdString(metadata.serverId)},
                                        {"Left", QByteArray::number(static_cast<qint64>(metadata.timeLeft.count()))},
                                        {"Organisation", QByteArray::fromStdString(metadata.organisation)},
                                        {"After", QByteArray::fromStdString(metadata.lastEventId)}};
    };
    it.relayHeaders = [](const net::RequestHead &head, const RelayMetadata &metadata) {
        std::vector<net::Header> headers = {{"Patience", QByteArray::number(static_cast<qint64>(metadata.timeLeft.count()))}};
        for (const char *it : {"Id", "Key", "Model", "Parts"}) {
            headers.push_back({it, net::headerValue(head.headers, it)});
        }
        if (!metadata.lastEventId.empty()) {
            headers.push_back({"Last", QByteArray::fromStdString(metadata.lastEventId)});
            headers.push_back({"Resumes", QByteArray::fromStdString(metadata.resumedAttempt)});
        }
        return headers;
    };
    it.readAnswer = [](const net::HttpHead &head) {
        AnswerMetadata metadata;
        metadata.requestId = head.header("Id").toStdString();
        metadata.isSealed = !head.header("Seal").isEmpty();
        metadata.hasNotRun = !head.header("Not-Run").isEmpty();
        if (const QByteArray borne = head.header("Brittle"); !borne.isEmpty()) {
            metadata.borneRejections = borne.toDouble();
        }
        metadata.isLeaving = !head.header("Leaving").isEmpty();
        if (const QByteArray rest = head.header("Retry-After"); !rest.isEmpty()) {
            metadata.retryAfter = std::chrono::milliseconds(static_cast<std::int64_t>(rest.toDouble() * 1000));
        }
        if (const QByteArray limit = head.header("Limit"); !limit.isEmpty()) {
            metadata.limitPerSecond = limit.toDouble();
        }
        return metadata;
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
    it.maxEventGap = 100ms;
    it.maxServers = maxServers;
    it.isResumable = isResumable;
    return it;
}

/// For requests whose bytes or work take seconds.
decision::Route slowRoute()
{
    decision::Route it = route("slow", decision::RequestKind::Unsafe, 1);
    it.timeout = 10s;
    return it;
}

/// For requests that outlast the silence of more than one server: /several/, /gapless/ (without a longest event gap) and /patient/.
decision::Route longRoute(const std::string &name, decision::RequestKind kind, std::uint32_t maxServers, std::chrono::milliseconds maxEventGap)
{
    decision::Route it = route(name, kind, maxServers, kind == decision::RequestKind::Streaming);
    it.timeout = 3s;
    it.maxEventGap = maxEventGap;
    return it;
}

RecordReaders readers(const decision::CallerLimits &limits)
{
    RecordReaders it;
    it.isConfiguration = [](std::string_view key) {
        return key == "configuration";
    };
    it.isWeights = [](std::string_view key) {
        return key == "weights";
    };
    it.readConfiguration = [limits](std::string_view value, std::string &problem) -> std::optional<decision::Configuration> {
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
                                slowRoute(),
                                longRoute("several", decision::RequestKind::Streaming, 3, 100ms),
                                longRoute("gapless", decision::RequestKind::Streaming, 2, 0ms),
                                longRoute("patient", decision::RequestKind::Safe, 2, 100ms),
                                route("brief", decision::RequestKind::Streaming, 2)};
        if (configuration.version >= 5) {
            configuration.routes.pop_back();
        }
        configuration.limits = limits;
        configuration.requiresApiKeys = true;
        configuration.organisations = {{"kattila", {}, false}, {"poyta", {}, false}};
        configuration.organisationByKey["key"] = 0;
        configuration.organisationByKey["other key"] = 1;
        configuration.indexRoutes();
        return configuration;
    };
    it.readWeights = [](std::string_view value, std::string &) {
        return std::optional(std::pair(std::string("m"), std::uint64_t{std::stoull(std::string(value))}));
    };
    it.readBackendServer = [](std::string_view id, std::string_view value, std::string &) {
        decision::BackendServer server;
        server.id = id;
        server.service = "service";
        std::istringstream fields{std::string(value)};
        std::uint64_t weights = 0;
        fields >> server.address;
        if (fields >> weights) {
            server.weightVersions["m"] = weights;
        }
        fields >> server.softwareVersion;
        server.zone = "zone";
        server.parallelRequests = 8;
        return std::optional(server);
    };
    return it;
}

/// Engines that give no report, so that no order leaves.
EngineControl silentEngines()
{
    EngineControl it;
    it.readReport = [](const std::string & /*address*/, const auto &done) {
        done(std::nullopt);
    };
    return it;
}

} // namespace

GatewayFixture::GatewayFixture(Responder answer, bool isConfigured, const Preparation &prepare)
    : m_responder(std::move(answer))
{
    GatewayOptions &options = m_options;
    options.vm = "vm";
    options.zone = "zone";
    options.callerAddress = AnyPort;
    options.readinessAddress = AnyPort;
    options.operatorTopic = "operator";
    options.backendTopic = "servers";
    options.retries = {.ratio = 0.5, .window = 10s};
    options.stopGrace = 4s;
    options.writeLog = [this](std::string_view line) {
        logLines.push_back(nlohmann::json::parse(line));
    };
    for (auto &it : m_servers) {
        it = std::make_unique<net::HttpServer>(net::HttpServerOptions{}, [this](const std::shared_ptr<net::Exchange> &exchange) {
            receivedRequests.push_back(exchange);
            m_responder(exchange, static_cast<int>(receivedRequests.size()));
        });
        serverAddresses.push_back(QByteArray::fromStdString(net::toText(it->listenOn(AnyPort))));
    }
    if (isConfigured) {
        store.put("operator", "configuration", "1");
    }
    store.put("servers", "a", serverAddresses[0]);
    store.put("servers", "b", serverAddresses[1]);
    if (prepare) {
        prepare(*this, options);
    }
    gateway = makeGateway(m_options.vm);
    const nlohmann::json &start = lastLine("start");
    callerAddress = *net::parseAddress(start["callers"].get<std::string>());
    readinessAddress = *net::parseAddress(start["readiness"].get<std::string>());
}

std::unique_ptr<Gateway> GatewayFixture::makeGateway(const std::string &vm)
{
    m_options.vm = vm;
    auto it = std::make_unique<Gateway>(m_options, plainWire(), readers(limits), store.hooks(), silentEngines());
    REQUIRE(it->start());
    ++m_gateways;
    runUntil([&] {
        return hasLogged("topic_synced", 2 * m_gateways);
    });
    return it;
}

GatewayFixture::Other GatewayFixture::startGateway(const std::string &vm)
{
    Other it;
    it.gateway = makeGateway(vm);
    it.callerAddress = *net::parseAddress(lastLine("start")["callers"].get<std::string>());
    return it;
}

bool GatewayFixture::hasLogged(const std::string &event, int count) const
{
    return std::count_if(logLines.begin(),
                         logLines.end(),
                         [&](const nlohmann::json &it) {
                             return it["event"] == event;
                         })
        >= count;
}

const nlohmann::json &GatewayFixture::lastLine(const std::string &event) const
{
    const auto it = std::find_if(logLines.rbegin(), logLines.rend(), [&](const nlohmann::json &line) {
        return line["event"] == event;
    });
    REQUIRE(it != logLines.rend());
    return *it;
}

net::HttpResult GatewayFixture::sendRequest(const QByteArray &target, const QByteArray &method, const QByteArray &key)
{
    return sendRequestTo(callerAddress, target, method, key);
}

net::HttpResult GatewayFixture::sendRequestTo(const net::Address &gatewayAddress, const QByteArray &target, const QByteArray &method, const QByteArray &key)
{
    std::optional<net::HttpResult> result;
    net::HttpCall call;
    call.peer = gatewayAddress;
    call.method = method;
    call.target = target;
    call.host = "host";
    call.headers = {{"Id", requestId}, {"Key", key}};
    call.headers.insert(call.headers.end(), extraHeaders.begin(), extraHeaders.end());
    call.body = requestBody;
    client.start(call, {.onDone = [&](const net::HttpResult &it) {
                     result = it;
                 }});
    runUntil([&] {
        return result.has_value();
    });
    REQUIRE(result);
    return *result;
}

} // namespace auburndrum::gateway
