#include "auburndrum/gateway/relayedrequest.h"

#include <algorithm>
#include <array>

namespace auburndrum::gateway {

namespace {

const QByteArray By = "Relayed-By";
const QByteArray Deliveries = "Relayed-Deliveries";
const QByteArray NoPath = "Relayed-No-Path";
const QByteArray Vm = "Relayed-Vm";
const QByteArray Server = "Relayed-Server";
const QByteArray Service = "Relayed-Service";
const QByteArray Software = "Relayed-Software";
const std::array AllFields = {By, Deliveries, NoPath, Vm, Server, Service, Software};

} // namespace

void addFields(std::vector<net::Header> &headers, const RelayedRequest &request)
{
    headers.push_back({By, QByteArray::fromStdString(request.by)});
    headers.push_back({Deliveries, QByteArray::number(request.deliveries)});
    if (!request.service.empty()) {
        headers.push_back({Service, QByteArray::fromStdString(request.service)});
        headers.push_back({Software, QByteArray::fromStdString(request.softwareVersion)});
    }
}

void addFields(std::vector<net::Header> &headers, const RelayedAnswer &answer)
{
    if (!answer.vm.empty()) {
        headers.push_back({Vm, QByteArray::fromStdString(answer.vm)});
    }
    if (answer.hasNoPath) {
        headers.push_back({NoPath, "1"});
    }
    if (answer.deliveries) {
        headers.push_back({Deliveries, QByteArray::number(*answer.deliveries)});
    }
    if (!answer.server.empty()) {
        headers.push_back({Server, QByteArray::fromStdString(answer.server)});
        headers.push_back({Service, QByteArray::fromStdString(answer.service)});
        headers.push_back({Software, QByteArray::fromStdString(answer.softwareVersion)});
    }
}

RelayedRequest readRelayedRequest(const std::vector<net::Header> &headers)
{
    return {net::headerValue(headers, By).toStdString(),
            net::headerValue(headers, Deliveries).toUInt(),
            net::headerValue(headers, Service).toStdString(),
            net::headerValue(headers, Software).toStdString()};
}

RelayedAnswer readRelayedAnswer(const std::vector<net::Header> &headers)
{
    bool isNumber = false;
    const std::uint32_t deliveries = net::headerValue(headers, Deliveries).toUInt(&isNumber);
    return {net::headerValue(headers, Vm).toStdString(),
            !net::headerValue(headers, NoPath).isEmpty(),
            isNumber ? std::optional(deliveries) : std::nullopt,
            net::headerValue(headers, Server).toStdString(),
            net::headerValue(headers, Service).toStdString(),
            net::headerValue(headers, Software).toStdString()};
}

std::vector<net::Header> withoutRelayFields(const std::vector<net::Header> &headers)
{
    std::vector<net::Header> rest;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(rest), [](const net::Header &header) {
        return std::none_of(AllFields.begin(), AllFields.end(), [&header](const QByteArray &it) {
            return it.compare(header.name, Qt::CaseInsensitive) == 0;
        });
    });
    return rest;
}

} // namespace auburndrum::gateway
