#include "auburndrum/caller/callerapi.h"

#include "auburndrum/base/randomid.h"
#include "completioncall.h"
#include "servicecall.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndrum::caller {

namespace {

using nlohmann::json;

const QByteArray ServicesPrefix = "/v1/services/";

bool isPrintable(const QByteArray &text)
{
    return std::all_of(text.begin(), text.end(), [](char it) {
        return it > ' ' && it <= '~';
    });
}

/// Part of the request's target after the service's name, including the query.
QByteArray targetBehind(const net::Exchange &exchange, qsizetype nameEnd)
{
    QByteArray target = nameEnd < 0 ? QByteArray("/") : exchange.path().mid(nameEnd);
    const QByteArray query = exchange.rawQuery();
    if (!query.isEmpty()) {
        target += '?' + query;
    }
    return target;
}

} // namespace

CallerApi::CallerApi(CallerContext &context, CallerApiOptions options)
    : m_context(context)
    , m_options(std::move(options))
{
}

bool CallerApi::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    const QByteArray path = exchange->path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        handleCompletion(exchange, path == "/v1/chat/completions");
        return true;
    }
    if (path == "/v1/models") {
        handleModels(exchange);
        return true;
    }
    if (path.startsWith(ServicesPrefix)) {
        handleService(exchange);
        return true;
    }
    return false;
}

std::optional<std::string> CallerApi::authenticate(net::Exchange &exchange, const Directory &directory) const
{
    auto organisation = directory.authenticate(exchange.header("Authorization").toStdString());
    if (!organisation) {
        refuse(exchange, invalidApiKey());
    }
    return organisation;
}

void CallerApi::handleCompletion(const std::shared_ptr<net::Exchange> &exchange, bool isChat)
{
    if (exchange->method() != "POST") {
        refuse(*exchange, wrongMethod("POST"));
        return;
    }
    const auto directory = m_context.directory();
    auto organisation = authenticate(*exchange, *directory);
    if (!organisation) {
        return;
    }
    const std::string requestId = randomId();
    m_context.timeline.record(EventKind::RequestReceived, requestId, isChat ? "chat completion" : "completion");
    std::make_shared<CompletionCall>(m_context, exchange, isChat ? CompletionKind::Chat : CompletionKind::Text, std::move(*organisation), requestId, directory)
        ->start();
}

void CallerApi::handleModels(const std::shared_ptr<net::Exchange> &exchange)
{
    if (exchange->method() != "GET") {
        refuse(*exchange, wrongMethod("GET"));
        return;
    }
    const auto directory = m_context.directory();
    const auto organisation = authenticate(*exchange, *directory);
    if (!organisation) {
        return;
    }
    json list = json::array();
    for (const auto &[name, service] : directory->services()) {
        if (service.kind != decision::ServiceKind::Engine || grantOf(service, *organisation) == nullptr) {
            continue;
        }
        list.push_back({{"id", service.model.empty() ? name : service.model}, {"object", "model"}, {"owned_by", service.ownerTeam}});
    }
    exchange->respondJson(200, QByteArray::fromStdString(json{{"object", "list"}, {"data", list}}.dump()));
}

void CallerApi::handleService(const std::shared_ptr<net::Exchange> &exchange)
{
    const auto directory = m_context.directory();
    auto organisation = authenticate(*exchange, *directory);
    if (!organisation) {
        return;
    }
    const QByteArray path = exchange->path();
    const auto nameEnd = path.indexOf('/', ServicesPrefix.size());
    const std::string name = path.mid(ServicesPrefix.size(), nameEnd < 0 ? -1 : nameEnd - ServicesPrefix.size()).toStdString();
    const decision::ServiceDocument *service = directory->service(name);
    if (service == nullptr || service->kind != decision::ServiceKind::Plain || grantOf(*service, *organisation) == nullptr) {
        refuse(*exchange,
               {.status = 404,
                .message = "The service does not exist or this organisation has no access to it.",
                .param = "service",
                .code = "service_not_found"});
        return;
    }
    const QByteArray key = exchange->header("Idempotency-Key");
    if (key.isEmpty() && service->idempotencyKeyRequired) {
        refuse(*exchange, invalidField("Idempotency-Key", "This service requires an Idempotency-Key header."));
        return;
    }
    if (static_cast<std::size_t>(key.size()) > m_options.maxKeyBytes || !isPrintable(key)) {
        refuse(*exchange, invalidField("Idempotency-Key", "Idempotency-Key must be 1 to 255 printable ASCII characters without spaces."));
        return;
    }
    ServiceRequest request;
    request.organisation = std::move(*organisation);
    request.requestId = randomId();
    request.incarnation = m_options.incarnation;
    request.target = targetBehind(*exchange, nameEnd);
    request.idempotencyKey = key;
    m_context.timeline.record(EventKind::RequestReceived, request.requestId, name);
    std::make_shared<ServiceCall>(m_context, exchange, std::move(request), directory, *service)->start();
}

} // namespace auburndrum::caller
