#include "standins/common/standin.h"

#include <QTimer>

#include <string>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char FaultsPath[] = "/v1/faults";
constexpr qint64 MaxHeaderBytes = 1 << 20; // piece keys of a very long prompt

/// Reads the body of a fault switch; nothing when it is malformed.
std::optional<Fault> parseFault(const nlohmann::json &body)
{
    const std::optional<FaultMode> mode = faultModeByName(body.value("mode", ""));
    if (!mode) {
        return std::nullopt;
    }
    Fault out;
    out.mode = *mode;
    out.count = body.value("count", 0U);
    out.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    out.pathPrefix = body.value("path", "");
    out.method = body.value("method", "");
    return out;
}

net::HttpServerOptions standInServer(net::HttpServerOptions options)
{
    options.maxHeaderBytes = MaxHeaderBytes;
    options.errorBody = [](int status, const QByteArray &message) {
        return QByteArray::fromStdString(errorJson(status, "bad_request", message.toStdString()).dump());
    };
    return options;
}

} // namespace

StandIn::StandIn(const net::HttpServerOptions &options, StandInHooks hooks)
    : m_hooks(std::move(hooks))
    , m_server(standInServer(options), [this](const std::shared_ptr<net::Exchange> &exchange) {
        handle(exchange);
    })
{
}

net::Address StandIn::listenOn(const net::Address &address)
{
    return m_server.listenOn(address);
}

FaultSwitches &StandIn::faults()
{
    return m_faults;
}

void StandIn::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    const std::string path = exchange->path().toStdString();
    const auto reply = std::make_shared<Reply>(exchange, std::nullopt);
    if (path == FaultsPath) {
        handleFaults(*reply);
        return;
    }
    const std::optional<Fault> fault = m_faults.takeConnectionFault(exchange->method().toStdString(), path);
    if (fault) {
        handleWithFault(exchange, *fault);
        return;
    }
    m_hooks.onRequest(reply);
}

void StandIn::handleFaults(Reply &reply)
{
    const nlohmann::json body = nlohmann::json::parse(reply.request().body().toStdString(), nullptr, false);
    if (reply.request().method() != "POST" || !body.is_object()) {
        reply.respondError(400, "bad_fault", "POST a JSON object");
        return;
    }
    if (body.value("mode", "") == "none") {
        m_faults.clear();
        reply.respondEmpty();
        return;
    }
    const std::optional<Fault> fault = parseFault(body);
    if (!fault) {
        reply.respondError(400, "bad_fault", "unknown mode");
        return;
    }
    if (!m_hooks.onFault || !m_hooks.onFault(*fault)) {
        m_faults.set(*fault);
    }
    reply.respondEmpty();
}

void StandIn::handleWithFault(const std::shared_ptr<net::Exchange> &exchange, const Fault &fault)
{
    const auto reply = std::make_shared<Reply>(exchange, fault);
    switch (fault.mode) {
    case FaultMode::Refuse:
        Reply(exchange, std::nullopt).respondError(503, "refused", "refused by a fault switch", {{"Retry-After", "1"}});
        return;
    case FaultMode::Reset:
        exchange->abort();
        return;
    case FaultMode::Hang:
        keepSilent(exchange);
        return;
    case FaultMode::ApplyLate:
        exchange->abort();
        QTimer::singleShot(fault.delay, [this, reply] {
            m_hooks.onRequest(reply);
        });
        return;
    case FaultMode::HalfOpen:
        keepSilent(exchange);
        break;
    default:
        break;
    }
    m_hooks.onRequest(reply);
}

void StandIn::keepSilent(const std::shared_ptr<net::Exchange> &exchange)
{
    std::erase_if(m_silent, [](const std::shared_ptr<net::Exchange> &it) {
        return !it->isOpen();
    });
    m_silent.push_back(exchange);
}

} // namespace auburndrum::standins
