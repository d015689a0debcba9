#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char Keyed[] = "keyed.";

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int n = bytes - 1; n >= 0; --n) {
        text += static_cast<char>((value >> (8 * n)) & 0xffU);
    }
    return text;
}

std::string inView(std::string text, int view)
{
    const std::string placeholder = "127.78.0.";
    const std::string host = "127.78." + std::to_string(view) + ".";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + host.size())) {
        text.replace(at, placeholder.size(), host);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            group = (group << 8U) | (at + n < bytes.size() ? static_cast<unsigned char>(bytes[at + n]) : 0U);
        }
        for (std::size_t n = 0; n < 4; ++n) {
            text += at + n > bytes.size() ? '=' : digits[(group >> (18 - 6 * n)) & 63U];
        }
    }
    return text;
}

Answer jsonAnswer(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t numberIn(const Message &request, const char *name)
{
    const std::string text = request.query(name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(milliseconds retention)
    : m_retention(retention)
{
}

void Store::listenOn(const Address &address, int view)
{
    Server(address, [this, view](const Message &request) {
        return handle(request, view);
    });
}

void Store::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, topic] : m_topics) {
        topic.firstOffset = topic.endOffset(); // counts the records, so before they go
        topic.records.clear();
    }
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    append(topic, bigEndian(key.size(), 1) + key + value);
}

void Store::append(const std::string &topic, const std::string &record)
{
    Topic &it = m_topics[topic];
    dropOld(it);
    it.records.push_back({record, Clock::now()});
    if (topic.starts_with(Keyed) && !record.empty()) {
        const auto n = static_cast<unsigned char>(record[0]);
        const std::string key = record.substr(1, n);
        if (record.size() == 1U + n) {
            it.newestByKey.erase(key);
        } else {
            it.newestByKey[key] = {it.endOffset() - 1, record.substr(1 + n)};
        }
    }
    m_changed.notify_all();
}

void Store::dropOld(Topic &topic) const
{
    while (!topic.records.empty() && Clock::now() - topic.records.front().writtenAt > m_retention) {
        topic.records.pop_front();
        ++topic.firstOffset;
    }
}

Answer Store::handle(const Message &request, int view)
{
    if (request.path() == "/log-append") {
        return appendRecords(request);
    }
    if (request.path() == "/log-read") {
        return readRecords(request, view);
    }
    if (request.path() == "/log-newest") {
        return readNewest(request, view);
    }
    return jsonAnswer(404, json::object());
}

Answer Store::appendRecords(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string topic = request.query("topic");
    const std::uint64_t offset = m_topics[topic].endOffset();
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        std::size_t length = 0;
        for (std::size_t n = 0; n < 4; ++n) {
            length = (length << 8U) | static_cast<unsigned char>(request.body[at + n]);
        }
        append(topic, request.body.substr(at + 4, length));
        at += 4 + length;
    }
    return jsonAnswer(200, {{"offset", offset}, {"end_offset", m_topics[topic].endOffset()}});
}

Answer Store::readRecords(const Message &request, int view)
{
    std::unique_lock lock(m_mutex);
    Topic &topic = m_topics[request.query("topic")];
    const std::uint64_t from = numberIn(request, "from");
    const auto until = Clock::now() + milliseconds(numberIn(request, "wait_ms"));
    dropOld(topic);
    if (from < topic.firstOffset || from > topic.endOffset()) {
        return jsonAnswer(410, {{"first", topic.firstOffset}});
    }
    m_changed.wait_until(lock, until, [&] {
        return from < topic.endOffset();
    });
    if (from < topic.firstOffset) {
        return jsonAnswer(410, {{"first", topic.firstOffset}});
    }
    std::string body = bigEndian(topic.endOffset(), 8) + bigEndian(topic.firstOffset, 8);
    for (std::uint64_t n = from; n < topic.endOffset(); ++n) {
        const std::string record = inView(topic.records[n - topic.firstOffset].bytes, view);
        body += bigEndian(record.size(), 4) + record;
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, body};
}

Answer Store::readNewest(const Message &request, int view)
{
    const std::lock_guard lock(m_mutex);
    const Topic &topic = m_topics[request.query("topic")];
    json items = json::array();
    for (const auto &[key, newest] : topic.newestByKey) {
        items.push_back({{"key", key}, {"value", base64(inView(newest.second, view))}, {"offset", newest.first}});
    }
    return jsonAnswer(200, {{"items", items}, {"has_more", false}, {"end_offset", topic.endOffset()}});
}

} // namespace review
