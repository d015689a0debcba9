#include "auburndrum/entry/gossipcodec.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace auburndrum::entry {

using nlohmann::json;
using namespace decision;

namespace {

constexpr const char *MemberKind = "member";
constexpr const char *LeavingKind = "leaving";
constexpr const char *LinkKind = "link";
constexpr const char *CircuitKind = "circuit";
constexpr std::size_t BucketDigits = 8;

json toJson(const MemberRecord &it)
{
    return json::array({it.name, it.address, it.zone, it.region, it.incarnation, it.refutation, static_cast<int>(it.liveness), it.leaving ? 1 : 0});
}

MemberRecord memberFrom(const json &it)
{
    MemberRecord record;
    record.name = it.at(0).get<std::string>();
    record.address = it.at(1).get<std::string>();
    record.zone = it.at(2).get<std::string>();
    record.region = it.at(3).get<std::string>();
    record.incarnation = integerFrom<std::uint64_t>(it.at(4));
    record.refutation = integerFrom<std::uint32_t>(it.at(5));
    const int liveness = integerFrom<int>(it.at(6));
    record.liveness = liveness == 0 ? Liveness::Alive : liveness == 1 ? Liveness::Suspect : Liveness::Dead;
    record.leaving = integerFrom<int>(it.at(7)) != 0;
    return record;
}

/// Writes the kind, the age in seconds and the fields of one delta.
struct DeltaWriter
{
    std::int64_t age;

    json operator()(const MemberRecord &it) const
    {
        return json::array({MemberKind, age, toJson(it)});
    }
    json operator()(const LeavingServer &it) const
    {
        return json::array({LeavingKind, age, it.server, it.incarnation});
    }
    json operator()(const LinkDemand &it) const
    {
        return json::array({LinkKind, age, it.entryVm, it.link, it.sequence, it.bytesPerSecond});
    }
    json operator()(const CircuitReport &it) const
    {
        return json::array({CircuitKind, age, it.server, it.entryVm, it.sequence, it.open ? 1 : 0});
    }
};

std::optional<DeltaValue> valueFrom(const json &it)
{
    const auto kind = it.at(0).get<std::string>();
    if (kind == MemberKind) {
        return memberFrom(it.at(2));
    }
    if (kind == LeavingKind) {
        return LeavingServer{it.at(2).get<std::string>(), integerFrom<std::uint64_t>(it.at(3))};
    }
    if (kind == LinkKind) {
        return LinkDemand{it.at(2).get<std::string>(), it.at(3).get<std::string>(), integerFrom<std::uint64_t>(it.at(4)), integerFrom<std::uint64_t>(it.at(5))};
    }
    if (kind == CircuitKind) {
        return CircuitReport{it.at(2).get<std::string>(), it.at(3).get<std::string>(), integerFrom<std::uint64_t>(it.at(4)), integerFrom<int>(it.at(5)) != 0};
    }
    return std::nullopt;
}

std::string encodeBuckets(const std::vector<std::uint32_t> &buckets)
{
    constexpr const char *Digits = "0123456789abcdef";
    constexpr unsigned DigitBits = 4;
    std::string text;
    for (const std::uint32_t bucket : buckets) {
        for (std::size_t n = BucketDigits; n > 0; --n) {
            text += Digits[(bucket >> (DigitBits * (n - 1))) & 0xfU];
        }
    }
    return text;
}

std::vector<std::uint32_t> decodeBuckets(const std::string &text)
{
    constexpr int Hexadecimal = 16;
    std::vector<std::uint32_t> buckets;
    for (std::size_t n = 0; n + BucketDigits <= text.size(); n += BucketDigits) {
        std::uint32_t bucket = 0;
        std::from_chars(text.data() + n, text.data() + n + BucketDigits, bucket, Hexadecimal);
        buckets.push_back(bucket);
    }
    return buckets;
}

GossipMessage messageFrom(const json &value)
{
    GossipMessage message;
    message.sender = memberFrom(value.at("self"));
    message.senderAge = std::chrono::seconds(integerFrom<std::uint32_t>(value.at("age")));
    message.configOffset = integerFrom<std::uint64_t>(value.at("offset"));
    message.digest = integerFrom<std::uint64_t>(value.at("digest"));
    message.wantsFullState = value.contains("wantsAll");
    message.isFullState = value.contains("isAll");
    message.bucketDigests = decodeBuckets(value.value("buckets", std::string()));
    for (const json &it : listIn(value, "deltas")) {
        std::optional<DeltaValue> fact = valueFrom(it);
        if (!fact) {
            continue;
        }
        message.deltas.push_back({std::move(*fact), std::chrono::seconds(integerFrom<std::uint32_t>(it.at(1)))});
    }
    return message;
}

} // namespace

std::string encodeGossip(const GossipMessage &message)
{
    json value{{"self", toJson(message.sender)}, {"age", message.senderAge.count()}, {"offset", message.configOffset}, {"digest", message.digest}};
    if (message.wantsFullState) {
        value["wantsAll"] = 1;
    }
    if (message.isFullState) {
        value["isAll"] = 1;
    }
    if (!message.bucketDigests.empty()) {
        value["buckets"] = encodeBuckets(message.bucketDigests);
    }
    for (const Delta &it : message.deltas) {
        value["deltas"].push_back(std::visit(DeltaWriter{it.age.count()}, it.value));
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

EntryResult<GossipMessage> decodeGossip(std::string_view json)
{
    try {
        return messageFrom(parseJson(json));
    } catch (const nlohmann::json::exception &) {
        return EntryError::Malformed;
    }
}

} // namespace auburndrum::entry
