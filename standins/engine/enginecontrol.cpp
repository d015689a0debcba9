// The part of EngineServer that is not about streams: dispatch, load, cache view, orders.
#include "standins/engine/engineserver.h"

#include <algorithm>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char StreamsPath[] = "/v1/streams/";
constexpr qint64 MaxPromptBytes = 64LL << 20;
constexpr std::chrono::milliseconds LoadSampleInterval{20};
constexpr std::chrono::milliseconds LoadKept{60'000};
constexpr std::chrono::milliseconds MaxEventWait{60'000};

nlohmann::json eventsJson(const CacheEventPage &page, std::uint64_t incarnation)
{
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent &it : page.events) {
        events.push_back({{"n", it.number}, {"kind", cacheEventName(it.kind)}, {"key", it.key}, {"tokens", it.tokens}});
    }
    return {{"incarnation", incarnation}, {"first", page.first}, {"next", page.next}, {"events", events}};
}

std::optional<Order> parseOrder(const QByteArray &body)
{
    const nlohmann::json json = nlohmann::json::parse(body.toStdString(), nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        const std::optional<OrderKind> kind = orderKindByName(json.at("kind").get<std::string>());
        if (!kind) {
            return std::nullopt;
        }
        return Order{json.at("fencing").get<std::uint64_t>(), *kind, json.at("value").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

EngineServer::EngineServer(const EngineOptions &options)
    : m_options(options)
    , m_cache(options.cacheTokens, options.pieceTokens)
    , m_scheduler(options.scheduler,
                  m_cache,
                  {[this](const std::string &attempt, std::uint64_t cachedTokens) {
                       onStarted(attempt, cachedTokens);
                   },
                   [this](const std::string &attempt, std::uint32_t index, bool last) {
                       onToken(attempt, index, last);
                   }})
    , m_orders(options.version)
    , m_loads(options.loadLag + LoadKept)
    , m_kv(m_cache,
           options.kvBytesPerToken,
           [this] {
               return m_orders.version();
           })
    , m_standIn({.maxBodyBytes = MaxPromptBytes},
                {[this](const std::shared_ptr<Reply> &reply) {
                     handle(reply);
                 },
                 [this](const Fault &fault) {
                     return onFault(fault);
                 }})
{
    m_wakeTimer.setSingleShot(true);
    m_wakeTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_wakeTimer, &QTimer::timeout, &m_wakeTimer, [this] {
        advance();
    });
    QObject::connect(&m_sampleTimer, &QTimer::timeout, &m_sampleTimer, [this] {
        sampleLoad();
    });
    sampleLoad();
    m_sampleTimer.start(LoadSampleInterval);
}

StandIn &EngineServer::standIn()
{
    return m_standIn;
}

void EngineServer::handle(const std::shared_ptr<Reply> &reply)
{
    const QByteArray path = reply->request().path();
    const QByteArray &method = reply->request().method();
    const std::string attempt = path.startsWith(StreamsPath) ? path.mid(static_cast<int>(sizeof(StreamsPath) - 1)).toStdString() : "";
    if (path == "/v1/completions" && method == "POST") {
        handleCompletion(reply, false);
    } else if (path == "/v1/chat/completions" && method == "POST") {
        handleCompletion(reply, true);
    } else if (!attempt.empty() && method == "GET") {
        handleStreamRead(reply, attempt);
    } else if (!attempt.empty() && method == "DELETE") {
        handleCancel(*reply, attempt);
    } else if (path == "/v1/load") {
        handleLoad(*reply);
    } else if (path == "/v1/cache/events") {
        handleCacheEvents(reply);
    } else if (path == "/v1/cache/keys") {
        reply->respondJson(200, {{"incarnation", m_options.incarnation}, {"next", m_cache.events().next()}, {"keys", m_cache.keys()}});
    } else if (path == "/v1/kv/export" && method == "POST") {
        m_kv.handleExport(reply);
    } else if (path == "/v1/kv/import" && method == "POST") {
        m_kv.handleImport(reply);
    } else if (path == "/v1/orders" && method == "POST") {
        handleOrder(*reply);
    } else if (path == "/v1/leaving") {
        handleLeaving(*reply);
    } else if (path == "/v1/runs") {
        reply->respondJson(200, m_runs.toJson());
    } else {
        reply->respondError(404, "not_found", "no such call");
    }
}

void EngineServer::handleLoad(Reply &reply)
{
    std::chrono::milliseconds lag = m_options.loadLag;
    const std::optional<Fault> stale = m_standIn.faults().take(FaultMode::StaleLoad, "/v1/load");
    if (stale) {
        lag += stale->delay;
    }
    const LoadHistory::Aged aged = m_loads.lagging(lag, monotonicNow());
    nlohmann::json json = nlohmann::json::parse(aged.report);
    json["report_age_ms"] = aged.age.count();
    reply.respondJson(200, json);
}

void EngineServer::handleCacheEvents(const std::shared_ptr<Reply> &reply)
{
    const std::uint64_t from = reply->request().query("from").toULongLong();
    const std::chrono::milliseconds wait(reply->request().query("wait_ms").toLongLong());
    const auto answer = [this, reply, from] {
        reply->respondJson(200, eventsJson(m_cache.events().read(from), m_options.incarnation));
    };
    if (wait.count() <= 0 || from < m_cache.events().next()) {
        answer();
        return;
    }
    const auto deadline = monotonicNow() + std::min(wait, MaxEventWait);
    m_waitingEvents.push_back({answer, from, deadline});
}

void EngineServer::answerWaitingEvents()
{
    const Instant now = monotonicNow();
    const std::uint64_t next = m_cache.events().next();
    const std::list<WaitingEvents> waiting = std::exchange(m_waitingEvents, {});
    for (const WaitingEvents &it : waiting) {
        if (it.from >= next && now < it.deadline) {
            m_waitingEvents.push_back(it);
            continue;
        }
        it.answer();
    }
}

void EngineServer::handleOrder(Reply &reply)
{
    const std::optional<Order> order = parseOrder(reply.request().body());
    if (!order) {
        reply.respondError(400, "bad_order", "want fencing, kind and value");
        return;
    }
    const bool ignoresFencing = m_standIn.faults().take(FaultMode::IgnoreFencing, "/v1/orders").has_value();
    if (!m_orders.accept(*order, !ignoresFencing)) {
        reply.respondError(409, "stale_fencing", "a higher fencing number was seen");
        return;
    }
    reply.respondJson(200, {{"accepted", true}});
    startOrder(*order);
}

void EngineServer::startOrder(const Order &order)
{
    if (m_orders.isReached(order)) {
        return;
    }
    if (order.kind == OrderKind::Role) {
        m_orders.carryOut(order);
        return;
    }
    if (!m_options.weightStore) {
        QTimer::singleShot(m_options.loadTime, [this, order] {
            carryOut(order);
        });
        return;
    }
    net::HttpCall call;
    call.peer = *m_options.weightStore;
    call.target = "/v1/weights/" + QByteArray::fromStdString(order.value);
    net::HttpHooks hooks;
    hooks.onDone = [this, order](const net::HttpResult &result) {
        if (result.failure == net::HttpFailure::None && result.head.status == 200) {
            carryOut(order);
        }
    };
    m_client.start(call, hooks);
}

void EngineServer::carryOut(const Order &order)
{
    if (m_orders.isReached(order)) {
        return;
    }
    m_orders.carryOut(order);
    if (order.kind == OrderKind::LoadVersion) {
        m_cache.clear();
    }
}

void EngineServer::handleLeaving(Reply &reply)
{
    m_scheduler.setLeaving(reply.request().method() == "PUT");
    reply.respondEmpty();
}

void EngineServer::sampleLoad()
{
    answerWaitingEvents();
    m_streams.dropExpired(monotonicNow());
    const SchedulerLoad load = m_scheduler.load();
    const std::chrono::duration<double> step = m_options.scheduler.decodeStep;
    const nlohmann::json report = {{"incarnation", m_options.incarnation},
                                   {"version", m_orders.version()},
                                   {"adapters", m_orders.adapters()},
                                   {"role", m_orders.role()},
                                   {"running", load.running},
                                   {"queued", load.queued},
                                   {"queued_prefill_tokens", load.queuedPrefillTokens},
                                   {"cache_used_tokens", m_cache.usedTokens()},
                                   {"cache_tokens", m_cache.capacityTokens()},
                                   {"prefill_tokens_per_s", m_options.scheduler.prefillTokensPerSecond},
                                   {"decode_tokens_per_s", m_options.scheduler.maxRunning / step.count()},
                                   {"leaving", m_scheduler.isLeaving()}};
    m_loads.add(report.dump(), monotonicNow());
}

bool EngineServer::onFault(const Fault &fault)
{
    if (fault.mode != FaultMode::EventGap) {
        return false;
    }
    m_cache.events().dropNext(fault.count);
    return true;
}

} // namespace auburndrum::standins
