#pragma once

#include "auburndrum/net/httpclient.h"

#include <nlohmann/json.hpp>

#include <QByteArray>

#include <memory>
#include <string>
#include <vector>

namespace auburndrum::tests {

/// A call under way, or its end.
struct PendingCall
{
    bool isDone = false;
    net::HttpHead head;
    QByteArray body; ///< as far as it has come
    net::HttpResult result; ///< valid when done

    int status() const;
    nlohmann::json json() const;

    /// Whether the answer came whole.
    bool isWhole() const;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

/// HTTP client of the tests.
class TestClient
{
public:
    /// Starts a call and returns at once.
    PendingCallPtr start(const net::HttpCall &call);

    /// Makes a call and waits for its end.
    PendingCallPtr call(const net::HttpCall &call);

    PendingCallPtr get(const net::Address &peer, const QByteArray &target, const std::vector<net::Header> &headers = {});
    PendingCallPtr send(const net::Address &peer, const QByteArray &method, const QByteArray &target, const nlohmann::json &body);

private:
    net::HttpClient m_client;
};

/// Returns the text of all "data:" events of a stream, without the last "[DONE]".
std::string streamText(const QByteArray &body);

/// Returns how often "[DONE]" came; a whole stream has it once, at its end.
int doneCount(const QByteArray &body);

/// Returns the first event's id, which is the engine's attempt.
std::string streamAttempt(const QByteArray &body);

} // namespace auburndrum::tests
