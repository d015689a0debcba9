#include "testclient.h"

#include "wait.h"

namespace auburndrum::tests {

namespace {

const QByteArray DataPrefix = "data: ";
const QByteArray DoneData = "[DONE]";

std::vector<QByteArray> streamData(const QByteArray &body)
{
    std::vector<QByteArray> out;
    for (const QByteArray &line : body.split('\n')) {
        if (line.startsWith(DataPrefix)) {
            out.push_back(line.mid(DataPrefix.size()));
        }
    }
    return out;
}

std::string textOf(const nlohmann::json &choice)
{
    if (choice.contains("delta")) {
        return choice["delta"].value("content", "");
    }
    return choice.value("text", "");
}

} // namespace

int PendingCall::status() const
{
    return result.head.status;
}

nlohmann::json PendingCall::json() const
{
    return nlohmann::json::parse(body.toStdString(), nullptr, false);
}

bool PendingCall::isWhole() const
{
    return isDone && result.failure == net::HttpFailure::None;
}

PendingCallPtr TestClient::start(const net::HttpCall &call)
{
    auto out = std::make_shared<PendingCall>();
    net::HttpHooks hooks;
    hooks.onHead = [out](const net::HttpHead &head) {
        out->head = head;
    };
    hooks.onBody = [out](const QByteArray &part) {
        out->body += part;
    };
    hooks.onDone = [out](const net::HttpResult &result) {
        out->result = result;
        out->isDone = true;
    };
    m_client.start(call, hooks);
    return out;
}

PendingCallPtr TestClient::call(const net::HttpCall &call)
{
    PendingCallPtr out = start(call);
    waitUntil([&] {
        return out->isDone;
    });
    return out;
}

PendingCallPtr TestClient::get(const net::Address &peer, const QByteArray &target, const std::vector<net::Header> &headers)
{
    net::HttpCall it;
    it.peer = peer;
    it.target = target;
    it.headers = headers;
    return call(it);
}

PendingCallPtr TestClient::send(const net::Address &peer, const QByteArray &method, const QByteArray &target, const nlohmann::json &body)
{
    net::HttpCall it;
    it.peer = peer;
    it.method = method;
    it.target = target;
    it.headers = {{"Content-Type", "application/json"}};
    it.body = QByteArray::fromStdString(body.dump());
    return call(it);
}

std::string streamText(const QByteArray &body)
{
    std::string out;
    for (const QByteArray &data : streamData(body)) {
        const nlohmann::json event = nlohmann::json::parse(data.toStdString(), nullptr, false);
        if (event.is_object() && event.contains("choices")) {
            out += textOf(event["choices"][0]);
        }
    }
    return out;
}

int doneCount(const QByteArray &body)
{
    int n = 0;
    for (const QByteArray &data : streamData(body)) {
        n += data == DoneData ? 1 : 0;
    }
    return n;
}

std::string streamAttempt(const QByteArray &body)
{
    const std::vector<QByteArray> data = streamData(body);
    if (data.empty()) {
        return "";
    }
    const nlohmann::json event = nlohmann::json::parse(data.front().toStdString(), nullptr, false);
    return event.is_object() ? event.value("id", "") : "";
}

} // namespace auburndrum::tests
