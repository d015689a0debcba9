#include "outcomelookup.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <QUrl>

namespace auburndrum::caller {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds LookupTimeout{2000};
constexpr int StatusOk = 200;

QByteArray targetOf(const decision::ClaimKey &key, const std::string &path)
{
    return QByteArray::fromStdString(path) + "?key=" + QUrl::toPercentEncoding(QString::fromStdString(key.key))
        + "&organisation=" + QUrl::toPercentEncoding(QString::fromStdString(key.organisation));
}

std::optional<decision::Outcome> outcomeOf(const net::HttpResult &result, const decision::ClaimKey &key, const std::string &nonce)
{
    if (result.failure != net::HttpFailure::None || result.head.status != StatusOk) {
        return std::nullopt;
    }
    const json body = parseJsonOrDiscard(result.body.toStdString());
    const bool isFound = body.is_object() && body.value("found", json()) == true;
    if (!isFound || !body.value("status", json()).is_number_unsigned() || !body.value("body", json()).is_string()) {
        return std::nullopt;
    }
    decision::Outcome it;
    it.key = key;
    it.nonce = nonce;
    it.status = body["status"].get<std::uint32_t>();
    it.contentType = "application/json";
    it.body = body["body"].get<std::string>();
    it.source = decision::OutcomeSource::Lookup;
    return it;
}

} // namespace

void lookUpOutcome(CallerContext &context,
                   const decision::ClaimKey &key,
                   const std::string &nonce,
                   const std::string &path,
                   std::function<void(const std::optional<decision::Outcome> &)> onDone)
{
    decision::RouteRequest route;
    route.service = key.service;
    const auto placement = context.fleet.place(route, monotonicNow());
    if (!placement) {
        onDone(std::nullopt);
        return;
    }
    net::HttpCall call;
    call.peer = net::parseAddress(placement.value().address).value_or(net::Address{});
    call.target = targetOf(key, path);
    call.freshConnection = true;
    call.firstByteTimeout = LookupTimeout;
    call.idleTimeout = LookupTimeout;
    net::HttpHooks hooks;
    hooks.onDone = [key, nonce, onDone = std::move(onDone)](const net::HttpResult &result) {
        onDone(outcomeOf(result, key, nonce));
    };
    context.http.start(call, std::move(hooks));
}

} // namespace auburndrum::caller
