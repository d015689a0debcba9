#include "standins/service/serviceserver.h"

#include <QTimer>

#include <string>

namespace auburndrum::standins {

namespace {

/// Body of the answer to a call; a look-up gives the same again.
nlohmann::json outcomeJson(const Execution &execution)
{
    return {{"execution", execution.number}, {"path", execution.path}, {"body", execution.body}};
}

} // namespace

ServiceServer::ServiceServer(const ServiceOptions &options)
    : m_options(options)
    , m_standIn({},
                {[this](const std::shared_ptr<Reply> &reply) {
                     handle(reply);
                 },
                 {}})
{
}

StandIn &ServiceServer::standIn()
{
    return m_standIn;
}

void ServiceServer::handle(const std::shared_ptr<Reply> &reply)
{
    const QByteArray path = reply->request().path();
    if (!path.startsWith("/v1/")) {
        handleCall(reply);
    } else if (path == "/v1/lookup") {
        handleLookup(*reply);
    } else if (path == "/v1/executions") {
        reply->respondJson(200, executionsJson());
    } else if (path == "/v1/load") {
        reply->respondJson(200, loadJson());
    } else if (path == "/v1/leaving") {
        handleLeaving(*reply);
    } else {
        reply->respondError(404, "not_found", "no such call");
    }
}

void ServiceServer::handleCall(const std::shared_ptr<Reply> &reply)
{
    const net::Exchange &request = reply->request();
    if (m_leaving) {
        reply->respondError(503,
                            "leaving",
                            "this server is leaving",
                            {{"X-Leaving", "1"}, {"X-Incarnation", QByteArray::number(static_cast<qulonglong>(m_options.incarnation))}});
        return;
    }
    Execution call;
    call.key = request.header("Idempotency-Key").toStdString();
    call.organisation = request.header("X-Organisation").toStdString();
    call.attempt = request.header("X-Attempt-Id").toStdString();
    call.path = request.path().toStdString();
    call.body = request.body().toStdString();
    call.time = wallNow();
    call.number = m_executions.run(call);
    ++m_running;
    const bool wrongAttempt = m_standIn.faults().take(FaultMode::WrongAttempt, call.path).has_value();
    const std::string attempt = wrongAttempt ? "wrong-" + call.attempt : call.attempt;
    QTimer::singleShot(m_options.callTime, [this, reply, call, attempt] {
        --m_running;
        reply->respondJson(200, outcomeJson(call), {{"X-Attempt-Id", QByteArray::fromStdString(attempt)}});
    });
}

void ServiceServer::handleLookup(Reply &reply) const
{
    const std::string key = reply.request().query("key").toStdString();
    const std::string organisation = reply.request().query("organisation").toStdString();
    const std::optional<Execution> found = m_executions.find(key, organisation);
    if (!found) {
        reply.respondJson(200, {{"found", false}});
        return;
    }
    reply.respondJson(200, {{"found", true}, {"status", 200}, {"body", outcomeJson(*found).dump()}});
}

void ServiceServer::handleLeaving(Reply &reply)
{
    m_leaving = reply.request().method() == "PUT";
    reply.respondEmpty();
}

nlohmann::json ServiceServer::executionsJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Execution &it : m_executions.all()) {
        list.push_back({{"n", it.number},
                        {"key", it.key},
                        {"organisation", it.organisation},
                        {"attempt", it.attempt},
                        {"path", it.path},
                        {"time_ms", it.time.time_since_epoch().count()}});
    }
    return {{"executions", list}};
}

nlohmann::json ServiceServer::loadJson() const
{
    return {{"incarnation", m_options.incarnation}, {"running", m_running}, {"queued", 0}, {"leaving", m_leaving}};
}

} // namespace auburndrum::standins
