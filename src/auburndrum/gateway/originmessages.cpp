#include "auburndrum/gateway/originmessages.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

namespace auburndrum::gateway {

namespace {

using nlohmann::json;

const char *nameOf(OriginMessage::Kind kind)
{
    switch (kind) {
    case OriginMessage::Kind::Record:
        return "record";
    case OriginMessage::Kind::Question:
        return "question";
    case OriginMessage::Kind::Answer:
        return "answer";
    }
    return "unknown";
}

std::optional<OriginMessage::Kind> kindFrom(const std::string &name)
{
    for (const auto it : {OriginMessage::Kind::Record, OriginMessage::Kind::Question, OriginMessage::Kind::Answer}) {
        if (name == nameOf(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace

std::string toJson(const OriginMessage &message)
{
    json object = {{"kind", nameOf(message.kind)}, {"attempt", message.attempt}};
    if (message.number != 0) {
        object["number"] = message.number;
    }
    if (!message.from.empty()) {
        object["from"] = message.from;
    }
    if (message.origin) {
        object["service"] = message.origin->service;
        object["software"] = message.origin->softwareVersion;
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<OriginMessage, std::string> originMessageFrom(const std::string &text)
{
    try {
        const json object = parseJson(text);
        OriginMessage message;
        const auto kind = kindFrom(object.at("kind").get<std::string>());
        if (!kind) {
            return failure("kind " + object.at("kind").dump() + " is not known");
        }
        message.kind = *kind;
        message.attempt = object.at("attempt").get<std::string>();
        message.number = integerIn(object, "number", std::uint64_t{0});
        message.from = object.value("from", std::string());
        if (object.contains("software") || message.kind == OriginMessage::Kind::Record) {
            message.origin = decision::StreamOrigin{object.at("service").get<std::string>(), object.at("software").get<std::string>()};
        }
        return message;
    } catch (const json::exception &ec) {
        return failure(std::string(ec.what()));
    }
}

} // namespace auburndrum::gateway
