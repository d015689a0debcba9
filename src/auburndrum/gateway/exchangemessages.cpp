#include "auburndrum/gateway/exchangemessages.h"

#include "auburndrum/gateway/relaymessages.h"

#include <nlohmann/json.hpp>

namespace auburndrum::gateway {

namespace {

using decision::CrashReport;
using decision::CrashVerdict;
using decision::LimitNotice;
using decision::MarkSuccess;
using nlohmann::json;
using std::chrono::milliseconds;

std::int64_t ageOf(Instant moment, Instant now)
{
    return std::chrono::floor<milliseconds>(now - moment).count();
}

Instant momentOf(const json &age, Instant now)
{
    return now - milliseconds(age.get<std::int64_t>());
}

json jsonOf(const CrashReport &it, Instant now)
{
    json parts = json::array();
    for (const auto &[part, sentAt] : it.lostMarks) {
        parts.push_back({part, ageOf(sentAt, now)});
    }
    return {{"server", it.server}, {"age_ms", ageOf(it.at, now)}, {"refuted", it.isRefuted}, {"confirmed", it.isConfirmed}, {"parts", std::move(parts)}};
}

CrashReport crashOf(const json &object, Instant now)
{
    CrashReport it;
    it.server = object.at("server").get<std::string>();
    it.at = momentOf(object.at("age_ms"), now);
    it.isRefuted = object.at("refuted").get<bool>();
    it.isConfirmed = object.at("confirmed").get<bool>();
    for (const json &part : object.at("parts")) {
        it.lostMarks[part.at(0).get<std::string>()] = momentOf(part.at(1), now);
    }
    return it;
}

json jsonOf(const CrashVerdict &it, Instant now)
{
    return {
        {"part", it.mark}, {"id", it.id}, {"age_ms", ageOf(it.decidedAt, now)}, {"hold_ms", it.hold.count()}, {"lifted", it.isLifted}, {"servers", it.servers}};
}

CrashVerdict verdictOf(const json &object, Instant now)
{
    CrashVerdict it;
    it.mark = object.at("part").get<std::string>();
    it.id = object.at("id").get<std::string>();
    it.decidedAt = momentOf(object.at("age_ms"), now);
    it.hold = milliseconds(object.at("hold_ms").get<std::int64_t>());
    it.isLifted = object.at("lifted").get<bool>();
    it.servers = object.at("servers").get<std::vector<std::string>>();
    return it;
}

/// A list without names, since a message may have hundreds of them.
json jsonOf(const LimitNotice &it, Instant now)
{
    return {it.server, it.startedAt.time_since_epoch().count(), it.perSecond, it.number, it.vm, ageOf(it.at, now), ageOf(it.numberedFrom, now)};
}

LimitNotice limitOf(const json &list, Instant now)
{
    LimitNotice it;
    it.server = list.at(0).get<std::string>();
    it.startedAt = WallTime(milliseconds(list.at(1).get<std::int64_t>()));
    it.perSecond = list.at(2).get<double>();
    it.number = list.at(3).get<std::uint64_t>();
    it.vm = list.at(4).get<std::string>();
    it.at = momentOf(list.at(5), now);
    it.numberedFrom = momentOf(list.at(6), now);
    return it;
}

json jsonOf(const decision::ServerRoom &it, Instant now)
{
    return {it.server, it.startedAt.time_since_epoch().count(), it.requests, ageOf(it.seenAt, now), ageOf(it.rejectedAt, now)};
}

decision::ServerRoom roomOf(const json &list, Instant now)
{
    decision::ServerRoom it;
    it.server = list.at(0).get<std::string>();
    it.startedAt = WallTime(milliseconds(list.at(1).get<std::int64_t>()));
    it.requests = list.at(2).get<std::uint32_t>();
    it.seenAt = momentOf(list.at(3), now);
    it.rejectedAt = momentOf(list.at(4), now);
    return it;
}

/// The elements of a list that a VM of an earlier version doesn't send.
json listOf(const json &object, const char *name)
{
    return object.value(name, json::array());
}

} // namespace

std::string toJson(const ExchangeMessage &message, Instant now)
{
    json crashes = json::array();
    for (const CrashReport &it : message.evidence.crashes) {
        crashes.push_back(jsonOf(it, now));
    }
    json successes = json::array();
    for (const MarkSuccess &it : message.evidence.successes) {
        successes.push_back({it.mark, it.vm, it.number, ageOf(it.at, now)});
    }
    json verdicts = json::array();
    for (const CrashVerdict &it : message.evidence.verdicts) {
        verdicts.push_back(jsonOf(it, now));
    }
    json limits = json::array();
    for (const LimitNotice &it : message.limits) {
        limits.push_back(jsonOf(it, now));
    }
    json silences = json::array();
    for (const decision::VmSilence &it : message.silences) {
        silences.push_back({it.vm, ageOf(it.silentAt, now), ageOf(it.heardAt, now)});
    }
    json brittle = json::array();
    for (const LimitNotice &it : message.brittleServices) {
        brittle.push_back(jsonOf(it, now));
    }
    json rooms = json::array();
    for (const decision::ServerRoom &it : message.rooms) {
        rooms.push_back(jsonOf(it, now));
    }
    const json object = {{"from", json::parse(toJson(message.from))},
                         {"crashes", std::move(crashes)},
                         {"successes", std::move(successes)},
                         {"verdicts", std::move(verdicts)},
                         {"limits", std::move(limits)},
                         {"silences", std::move(silences)},
                         {"brittle", std::move(brittle)},
                         {"rooms", std::move(rooms)}};
    return object.dump();
}

Result<ExchangeMessage, std::string> exchangeMessageFrom(const std::string &text, Instant now)
{
    try {
        const json object = json::parse(text);
        ExchangeMessage message;
        const auto from = entryVmFrom(object.at("from").dump());
        if (!from) {
            return failure(from.error());
        }
        message.from = from.value();
        for (const json &it : object.at("crashes")) {
            message.evidence.crashes.push_back(crashOf(it, now));
        }
        for (const json &it : object.at("successes")) {
            message.evidence.successes.push_back(
                {it.at(0).get<std::string>(), it.at(1).get<std::string>(), it.at(2).get<std::uint64_t>(), momentOf(it.at(3), now)});
        }
        for (const json &it : object.at("verdicts")) {
            message.evidence.verdicts.push_back(verdictOf(it, now));
        }
        for (const json &it : listOf(object, "limits")) {
            message.limits.push_back(limitOf(it, now));
        }
        for (const json &it : listOf(object, "silences")) {
            message.silences.push_back({it.at(0).get<std::string>(), momentOf(it.at(1), now), momentOf(it.at(2), now)});
        }
        for (const json &it : listOf(object, "brittle")) {
            message.brittleServices.push_back(limitOf(it, now));
        }
        for (const json &it : listOf(object, "rooms")) {
            message.rooms.push_back(roomOf(it, now));
        }
        return message;
    } catch (const json::exception &ec) {
        return failure(std::string(ec.what()));
    }
}

} // namespace auburndrum::gateway
