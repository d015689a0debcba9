#include "standins/common/reply.h"

#include <QTimer>

#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char AttemptHeader[] = "X-Attempt-Id";

} // namespace

Reply::Reply(std::shared_ptr<net::Exchange> exchange, std::optional<Fault> fault)
    : m_exchange(std::move(exchange))
    , m_fault(std::move(fault))
{
}

const net::Exchange &Reply::request() const
{
    return *m_exchange;
}

void Reply::respond(int status, const std::vector<net::Header> &headers, const QByteArray &body)
{
    if (has(FaultMode::LoseReply) || has(FaultMode::ApplyLate)) {
        m_exchange->abort();
        return;
    }
    if (has(FaultMode::HalfOpen)) {
        m_exchange->startStream(status, headers);
        m_exchange->writeChunk(body.left(body.size() / 2));
        return;
    }
    schedule([status, headers, body](net::Exchange &exchange) {
        exchange.respond(status, headers, body);
    });
}

void Reply::respondJson(int status, const nlohmann::json &json, const std::vector<net::Header> &headers)
{
    std::vector<net::Header> all = headers;
    all.push_back({"Content-Type", "application/json"});
    respond(status, all, QByteArray::fromStdString(json.dump()));
}

void Reply::respondError(int status, const std::string &code, const std::string &message, const std::vector<net::Header> &headers)
{
    std::vector<net::Header> all = headers;
    const QByteArray attempt = m_exchange->header(AttemptHeader);
    if (!attempt.isEmpty()) {
        all.push_back({AttemptHeader, attempt});
    }
    respondJson(status, errorJson(status, code, message), all);
}

void Reply::respondEmpty()
{
    respond(204, {}, {});
}

void Reply::startStream(int status, const std::vector<net::Header> &headers)
{
    if (has(FaultMode::LoseReply) || has(FaultMode::ApplyLate)) {
        m_exchange->abort();
        return;
    }
    schedule([status, headers](net::Exchange &exchange) {
        exchange.startStream(status, headers);
    });
}

void Reply::writeChunk(const QByteArray &part)
{
    ++m_parts;
    if (has(FaultMode::HalfOpen) && m_parts > HalfOpenParts) {
        return;
    }
    schedule([part](net::Exchange &exchange) {
        exchange.writeChunk(part);
    });
}

void Reply::finishStream()
{
    if (has(FaultMode::HalfOpen)) {
        return;
    }
    schedule([](net::Exchange &exchange) {
        exchange.finishStream();
    });
}

bool Reply::has(FaultMode mode) const
{
    return m_fault && m_fault->mode == mode;
}

void Reply::schedule(std::function<void(net::Exchange &)> step)
{
    if (!has(FaultMode::Slow)) {
        step(*m_exchange);
        return;
    }
    // Each step waits one delay longer than the one before it, so they stay in order.
    ++m_scheduled;
    QTimer::singleShot(m_fault->delay * m_scheduled, [self = shared_from_this(), step = std::move(step)] {
        step(*self->m_exchange);
    });
}

nlohmann::json errorJson(int status, const std::string &code, const std::string &message)
{
    const char *type = status >= 500 ? "server_error" : "invalid_request_error";
    return {{"error", {{"message", message}, {"type", type}, {"param", nullptr}, {"code", code}}}};
}

} // namespace auburndrum::standins
