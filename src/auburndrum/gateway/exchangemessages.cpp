#include "auburndrum/gateway/exchangemessages.h"

#include "auburndrum/gateway/relaymessages.h"

#include "auburndrum/base/jsonreader.h"

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
    // Another VM may count a moment as just ahead, never as far ahead.
    const milliseconds time(integerFrom<std::int64_t>(age));
    if (time < -MaxJsonTime || time > MaxJsonTime) {
        throwOutOfRange(age);
    }
    return now - time;
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
    it.hold = timeFrom(object.at("hold_ms"));
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
    it.startedAt = WallTime(unixTimeFrom(list.at(1)));
    it.perSecond = numberFrom(list.at(2));
    it.number = integerFrom<std::uint64_t>(list.at(3));
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
    it.startedAt = WallTime(unixTimeFrom(list.at(1)));
    it.requests = integerFrom<std::uint32_t>(list.at(2));
    it.seenAt = momentOf(list.at(3), now);
    it.rejectedAt = momentOf(list.at(4), now);
    return it;
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
        const json object = parseJson(text);
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
                {it.at(0).get<std::string>(), it.at(1).get<std::string>(), integerFrom<std::uint64_t>(it.at(2)), momentOf(it.at(3), now)});
        }
        for (const json &it : object.at("verdicts")) {
            message.evidence.verdicts.push_back(verdictOf(it, now));
        }
        // A VM of an earlier version sends none of the following lists.
        for (const json &it : listIn(object, "limits")) {
            message.limits.push_back(limitOf(it, now));
        }
        for (const json &it : listIn(object, "silences")) {
            message.silences.push_back({it.at(0).get<std::string>(), momentOf(it.at(1), now), momentOf(it.at(2), now)});
        }
        for (const json &it : listIn(object, "brittle")) {
            message.brittleServices.push_back(limitOf(it, now));
        }
        for (const json &it : listIn(object, "rooms")) {
            message.rooms.push_back(roomOf(it, now));
        }
        return message;
    } catch (const json::exception &ec) {
        return failure(std::string(ec.what()));
    }
}

} // namespace auburndrum::gateway
