#include "auburndrum/platform/logclient.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

namespace auburndrum::platform {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds DefaultRetryAfter{100};

AppendResult appendResult(const net::HttpResult &result)
{
    AppendResult it;
    it.error = platformError(result);
    if (it.error == PlatformError::Refused) {
        const int seconds = result.head.header("Retry-After").toInt();
        it.retryAfter = seconds > 0 ? std::chrono::seconds(seconds) : DefaultRetryAfter;
    }
    if (it.error != PlatformError::None) {
        return it;
    }
    const json body = parseJsonOrDiscard(result.body.toStdString());
    if (!body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned()) {
        it.error = PlatformError::Unknown;
        return it;
    }
    it.offset = body["offset"].get<std::uint64_t>();
    return it;
}

bool readRecord(const json &item, StoredRecord &record)
{
    const bool hasTime = item.is_object() && item.contains("time_ms");
    if (!item.is_object() || !item.value("offset", json()).is_number_unsigned() || !item.value("value", json()).is_string()
        || (hasTime && !item["time_ms"].is_number_integer())) {
        return false;
    }
    record.offset = item["offset"].get<std::uint64_t>();
    record.at = WallTime(std::chrono::milliseconds(item.value("time_ms", std::int64_t{0})));
    record.value = item["value"].get<std::string>();
    return true;
}

ReadResult readResult(const net::HttpResult &result)
{
    ReadResult it;
    it.error = platformError(result);
    if (it.error != PlatformError::None && it.error != PlatformError::Truncated) {
        return it;
    }
    const json body = parseJsonOrDiscard(result.body.toStdString());
    if (!body.is_object() || !body.value("first", json()).is_number_unsigned() || !body.value("next", json()).is_number_unsigned()) {
        it.error = PlatformError::Unknown;
        return it;
    }
    it.first = body["first"].get<std::uint64_t>();
    it.next = body["next"].get<std::uint64_t>();
    for (const json &item : body.value("records", json::array())) {
        StoredRecord record;
        if (!readRecord(item, record)) {
            it.error = PlatformError::Unknown;
            return it;
        }
        it.records.push_back(std::move(record));
    }
    return it;
}

} // namespace

LogClient::LogClient(net::HttpClient &http, LogClientOptions options)
    : m_http(http)
    , m_options(std::move(options))
{
}

void LogClient::append(const std::string &value, std::function<void(const AppendResult &)> onDone)
{
    net::HttpCall call;
    call.peer = m_options.platform;
    call.method = "POST";
    call.target = "/v1/log/records";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = QByteArray::fromStdString(json{{"value", value}}.dump());
    call.firstByteTimeout = m_options.appendTimeout;
    call.idleTimeout = m_options.appendTimeout;
    net::HttpHooks hooks;
    hooks.onDone = [onDone = std::move(onDone)](const net::HttpResult &result) {
        onDone(appendResult(result));
    };
    m_http.start(call, std::move(hooks));
}

net::HttpCallHandle LogClient::read(std::uint64_t from, std::chrono::milliseconds wait, std::function<void(const ReadResult &)> onDone)
{
    net::HttpCall call;
    call.peer = m_options.platform;
    call.target = "/v1/log/records?from=" + QByteArray::number(static_cast<qulonglong>(from)) + "&limit=" + QByteArray::number(m_options.readLimit)
        + "&wait_ms=" + QByteArray::number(static_cast<qlonglong>(wait.count()));
    call.firstByteTimeout = wait + m_options.readTimeoutMargin;
    call.idleTimeout = m_options.readTimeoutMargin;
    net::HttpHooks hooks;
    hooks.onDone = [onDone = std::move(onDone)](const net::HttpResult &result) {
        onDone(readResult(result));
    };
    return m_http.start(call, std::move(hooks));
}

} // namespace auburndrum::platform
