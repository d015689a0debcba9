#include "auburndrum/decision/logrecord.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

using Json = nlohmann::json;

namespace nlohmann {

template<>
struct adl_serializer<auburndrum::WallTime>
{
    static void to_json(Json &json, const auburndrum::WallTime &at) // NOLINT(readability-identifier-naming): the library's name
    {
        json = at.time_since_epoch().count();
    }

    static void from_json(const Json &json, auburndrum::WallTime &at) // NOLINT(readability-identifier-naming): the library's name
    {
        at = auburndrum::WallTime(std::chrono::milliseconds(json.get<std::int64_t>()));
    }
};

template<>
struct adl_serializer<std::chrono::milliseconds>
{
    static void to_json(Json &json, const std::chrono::milliseconds &duration) // NOLINT(readability-identifier-naming): the library's name
    {
        json = duration.count();
    }

    static void from_json(const Json &json, std::chrono::milliseconds &duration) // NOLINT(readability-identifier-naming): the library's name
    {
        duration = std::chrono::milliseconds(json.get<std::int64_t>());
    }
};

} // namespace nlohmann

namespace auburndrum::decision {

// NOLINTBEGIN(readability-identifier-naming): the library's names
NLOHMANN_JSON_SERIALIZE_ENUM(OutcomeSource, {{OutcomeSource::Answer, "answer"}, {OutcomeSource::Lookup, "lookup"}, {OutcomeSource::Operator, "operator"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PublishRecord, document, baseVersion, body, requestId, author)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimKey, service, organisation, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Claim, key, fingerprint, incarnation, nonce, deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimBatchRecord, claims)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Outcome, key, nonce, status, contentType, body, digest, source)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OutcomeBatchRecord, outcomes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Release, key, nonce)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseRecord, releases)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseRecord, resource, holder, nonce, replaces, duration)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotDocument, document, version, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotRequest, requestId, version, accepted, at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotClaim, claim, offset, at, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotLease, lease, offset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotRecord, covers, at, documents, requests, claims, leases)
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr std::array<std::string_view, std::variant_size_v<LogRecord>> KindNames = {"publish", "claims", "outcomes", "releases", "lease", "snapshot"};

// The entry format has no fractions and no negative numbers. Rejecting them here keeps later conversions exact.
bool hasOnlyWholeNumbers(const Json &json)
{
    if (json.is_number()) {
        return json.is_number_unsigned() && json.get<std::uint64_t>() <= std::uint64_t(INT64_MAX);
    }
    if (!json.is_structured()) {
        return true;
    }
    return std::all_of(json.begin(), json.end(), hasOnlyWholeNumbers);
}

template<std::size_t Index = 0>
LogRecord readKind(std::size_t kind, const Json &data)
{
    if constexpr (Index + 1 < std::variant_size_v<LogRecord>) {
        if (kind != Index) {
            return readKind<Index + 1>(kind, data);
        }
    }
    return data.get<std::variant_alternative_t<Index, LogRecord>>();
}

Json writeRecord(const LogRecord &record)
{
    Json json = {{"kind", KindNames.at(record.index())}};
    std::visit(
        [&json](const auto &it) {
            json["data"] = it;
        },
        record);
    return json;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void readRecord(const Json &json, LogEntry &entry)
{
    const bool hasKind = json.is_object() && json.contains("kind") && json["kind"].is_string() && json.contains("data");
    if (!hasKind) {
        ++entry.unreadableRecords;
        return;
    }
    const auto *const it = std::find(KindNames.begin(), KindNames.end(), json["kind"].get_ref<const std::string &>());
    if (it == KindNames.end()) {
        ++entry.newerRecords;
        return;
    }
    try {
        entry.records.push_back(readKind(std::size_t(it - KindNames.begin()), json["data"]));
    } catch (const Json::exception &) {
        ++entry.unreadableRecords;
    }
}

} // namespace

std::string encodeEntry(const std::vector<LogRecord> &records)
{
    Json list = Json::array();
    for (const LogRecord &it : records) {
        list.push_back(writeRecord(it));
    }
    return dump({{"format", LogFormatVersion}, {"records", std::move(list)}});
}

RecordResult<LogEntry> decodeEntry(const std::string &text)
{
    const Json json = parseJsonOrDiscard(text);
    const bool isEntry = json.is_object() && json.contains("format") && json["format"].is_number_unsigned();
    if (!isEntry) {
        return RecordError::Unreadable;
    }
    if (json["format"].get<std::uint64_t>() > LogFormatVersion) {
        return RecordError::NewerFormat;
    }
    if (!json.contains("records") || !json["records"].is_array() || !hasOnlyWholeNumbers(json)) {
        return RecordError::Unreadable;
    }
    LogEntry entry;
    for (const Json &it : json["records"]) {
        readRecord(it, entry);
    }
    return entry;
}

bool mayContainSnapshot(const std::string &text)
{
    // Quotes within JSON strings are escaped, so the body of a document can't contain this text.
    return text.find(R"("kind":"snapshot")") != std::string::npos;
}

} // namespace auburndrum::decision
