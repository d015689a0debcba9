#include "auburndrum/entry/gossipcodec.h"

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
    record.incarnation = it.at(4).get<std::uint64_t>();
    record.refutation = it.at(5).get<std::uint32_t>();
    const int liveness = it.at(6).get<int>();
    record.liveness = liveness == 0 ? Liveness::Alive : liveness == 1 ? Liveness::Suspect : Liveness::Dead;
    record.leaving = it.at(7).get<int>() != 0;
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
        return LeavingServer{it.at(2).get<std::string>(), it.at(3).get<std::uint64_t>()};
    }
    if (kind == LinkKind) {
        return LinkDemand{it.at(2).get<std::string>(), it.at(3).get<std::string>(), it.at(4).get<std::uint64_t>(), it.at(5).get<std::uint64_t>()};
    }
    if (kind == CircuitKind) {
        return CircuitReport{it.at(2).get<std::string>(), it.at(3).get<std::string>(), it.at(4).get<std::uint64_t>(), it.at(5).get<int>() != 0};
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
    message.senderAge = std::chrono::seconds(value.at("age").get<std::uint32_t>());
    message.configOffset = value.at("offset").get<std::uint64_t>();
    message.digest = value.at("digest").get<std::uint64_t>();
    message.wantsFullState = value.contains("wantsAll");
    message.isFullState = value.contains("isAll");
    message.bucketDigests = decodeBuckets(value.value("buckets", std::string()));
    for (const json &it : value.value("deltas", json::array())) {
        std::optional<DeltaValue> fact = valueFrom(it);
        if (!fact) {
            continue;
        }
        message.deltas.push_back({std::move(*fact), std::chrono::seconds(it.at(1).get<std::uint32_t>())});
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
        return messageFrom(nlohmann::json::parse(json));
    } catch (const nlohmann::json::exception &) {
        return EntryError::Malformed;
    }
}

} // namespace auburndrum::entry
