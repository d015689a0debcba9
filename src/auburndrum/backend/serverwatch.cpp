#include "auburndrum/backend/serverwatch.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <QPointer>

#include <set>

namespace auburndrum::backend {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

bool isOk(const net::HttpResult &result)
{
    return result.failure == net::HttpFailure::None && result.head.status == StatusOk;
}

json parseBody(const net::HttpResult &result)
{
    return parseJsonOrDiscard(result.body.toStdString());
}

std::uint64_t numberOf(const json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

double realOf(const json &body, const char *field)
{
    const auto it = body.find(field);
    return it != body.end() && it->is_number() ? it->get<double>() : 0.0;
}

decision::ServerLoadReport loadOf(const json &body)
{
    decision::ServerLoadReport it;
    it.incarnation = numberOf(body, "incarnation");
    const auto version = body.find("version");
    if (version != body.end() && version->is_string()) {
        it.weightVersion = version->get<std::string>();
    }
    it.runningRequests = static_cast<std::uint32_t>(numberOf(body, "running"));
    it.queuedRequests = static_cast<std::uint32_t>(numberOf(body, "queued"));
    it.queuedPrefillTokens = numberOf(body, "queued_prefill_tokens");
    it.cacheUsedTokens = numberOf(body, "cache_used_tokens");
    it.cacheCapacityTokens = numberOf(body, "cache_tokens");
    it.prefillTokensPerSecond = realOf(body, "prefill_tokens_per_s");
    it.decodeTokensPerSecond = realOf(body, "decode_tokens_per_s");
    const auto leaving = body.find("leaving");
    it.leaving = leaving != body.end() && leaving->is_boolean() && leaving->get<bool>();
    it.measuredAt = monotonicNow() - std::chrono::milliseconds(numberOf(body, "report_age_ms"));
    return it;
}

std::optional<decision::CacheEventKind> kindOf(const std::string &text)
{
    if (text == "stored") {
        return decision::CacheEventKind::Stored;
    }
    if (text == "evicted") {
        return decision::CacheEventKind::Evicted;
    }
    if (text == "cleared") {
        return decision::CacheEventKind::Cleared;
    }
    return std::nullopt;
}

} // namespace

ServerWatch::ServerWatch(net::HttpClient &http, Fleet &fleet, ServerWatchOptions options, ServerWatchHooks hooks, QObject *parent)
    : QObject(parent)
    , m_http(http)
    , m_fleet(fleet)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
    connect(&m_timer, &QTimer::timeout, this, &ServerWatch::pollServers);
}

void ServerWatch::start()
{
    pollServers();
    m_timer.start(m_options.loadInterval);
}

void ServerWatch::pollServers()
{
    std::set<std::string> present;
    for (const decision::Server &it : m_fleet.servers()) {
        present.insert(it.address);
        Watched &watched = m_watched[it.address];
        if (watched.incarnation != it.incarnation) {
            watched.incarnation = it.incarnation;
            watched.nextEvent = 1;
            watched.isLeaving = false;
        }
        if (!watched.isReadingLoad) {
            readLoad(it);
        }
        if (watched.hasEvents && !watched.isReadingEvents) {
            readEvents(it);
        }
    }
    std::erase_if(m_watched, [&present](const auto &it) {
        return !present.contains(it.first) && !it.second.isReadingLoad && !it.second.isReadingEvents;
    });
}

net::HttpCall ServerWatch::callTo(const std::string &address, const QByteArray &target) const
{
    net::HttpCall call;
    call.peer = net::parseAddress(address).value_or(net::Address{});
    call.target = target;
    call.firstByteTimeout = m_options.callTimeout;
    call.idleTimeout = m_options.callTimeout;
    return call;
}

void ServerWatch::readLoad(const decision::Server &server)
{
    m_watched[server.address].isReadingLoad = true;
    net::HttpHooks hooks;
    hooks.onDone = [self = QPointer<ServerWatch>(this), address = server.address](const net::HttpResult &result) {
        if (self) {
            self->handleLoad(address, result);
        }
    };
    m_http.start(callTo(server.address, "/v1/load"), std::move(hooks));
}

void ServerWatch::handleLoad(const std::string &address, const net::HttpResult &result)
{
    Watched &watched = m_watched[address];
    watched.isReadingLoad = false;
    if (!isOk(result)) {
        return;
    }
    const json body = parseBody(result);
    if (!body.is_object()) {
        return;
    }
    const decision::ServerLoadReport load = loadOf(body);
    m_fleet.applyLoadReport(address, load);
    if (!load.leaving || watched.isLeaving) {
        return;
    }
    watched.isLeaving = true;
    m_fleet.markLeaving(address, load.incarnation);
    m_hooks.onLeaving(address, load.incarnation);
}

void ServerWatch::readEvents(const decision::Server &server)
{
    Watched &watched = m_watched[server.address];
    watched.isReadingEvents = true;
    net::HttpCall call = callTo(server.address,
                                "/v1/cache/events?from=" + QByteArray::number(static_cast<qulonglong>(watched.nextEvent))
                                    + "&wait_ms=" + QByteArray::number(static_cast<qlonglong>(m_options.eventWait.count())));
    call.firstByteTimeout += m_options.eventWait;
    net::HttpHooks hooks;
    const WatchedServer it{server.id, server.address, server.incarnation};
    hooks.onDone = [self = QPointer<ServerWatch>(this), it](const net::HttpResult &result) {
        if (self) {
            self->handleEvents(it, result);
        }
    };
    m_http.start(call, std::move(hooks));
}

void ServerWatch::handleEvents(const WatchedServer &server, const net::HttpResult &result)
{
    Watched &watched = m_watched[server.address];
    watched.isReadingEvents = false;
    if (result.failure == net::HttpFailure::None && result.head.status == StatusNotFound) {
        watched.hasEvents = false;
        return;
    }
    if (!isOk(result)) {
        return;
    }
    const json body = parseBody(result);
    if (!body.is_object() || !body.value("events", json()).is_array()) {
        return;
    }
    std::vector<std::pair<decision::CacheEvent, std::string>> events;
    for (const json &item : body["events"]) {
        const auto kind = item.is_object() && item.value("kind", json()).is_string() ? kindOf(item["kind"].get<std::string>()) : std::nullopt;
        if (!kind) {
            continue; // the missing sequence number triggers a resync
        }
        const std::string key = item.value("key", json()).is_string() ? item["key"].get<std::string>() : std::string();
        events.push_back({{.sequenceNumber = numberOf(item, "n"), .kind = *kind}, key});
    }
    WatchedServer reported = server;
    reported.incarnation = std::max(server.incarnation, numberOf(body, "incarnation"));
    watched.nextEvent = numberOf(body, "next");
    if (!m_fleet.applyCacheEvents(reported, events, watched.nextEvent)) {
        resync(reported);
    }
}

void ServerWatch::resync(const WatchedServer &server)
{
    m_watched[server.address].isReadingEvents = true;
    net::HttpHooks hooks;
    hooks.onDone = [self = QPointer<ServerWatch>(this), server](const net::HttpResult &result) {
        if (!self) {
            return;
        }
        Watched &watched = self->m_watched[server.address];
        watched.isReadingEvents = false;
        const json body = isOk(result) ? parseBody(result) : json();
        if (!body.is_object() || !body.value("keys", json()).is_array()) {
            return;
        }
        std::vector<std::string> keys;
        for (const json &it : body["keys"]) {
            if (it.is_string()) {
                keys.push_back(it.get<std::string>());
            }
        }
        watched.nextEvent = numberOf(body, "next");
        self->m_fleet.resyncCache(server, keys, watched.nextEvent);
    };
    m_http.start(callTo(server.address, "/v1/cache/keys"), std::move(hooks));
}

} // namespace auburndrum::backend
