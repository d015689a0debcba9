#pragma once

#include "auburndrum/gateway/gateway.h"

#include "fakestore.h"

#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace auburndrum::gateway {

/// A gateway between a store, two backend servers and a caller, in one process.
///
/// Routes by path: /once/ and /single/ (unsafe, two servers and one), /safe/, /stream/ (resumable) and /brief/ (not resumable, gone from version 5 on).
class GatewayScene
{
public:
    using Answer = std::function<void(const std::shared_ptr<net::Exchange> &, int call)>;

    explicit GatewayScene(Answer answer, bool isConfigured = true);

    /// Whether the log has so many lines of this event.
    bool has(const std::string &event, int count = 1) const;
    /// The last line of this event.
    const nlohmann::json &lineOf(const std::string &event) const;
    net::HttpResult ask(const QByteArray &target, const QByteArray &method = "POST", const QByteArray &key = "key");

    std::vector<nlohmann::json> log;
    std::vector<std::shared_ptr<net::Exchange>> seen; ///< requests that reached a backend server
    std::vector<QByteArray> addresses;
    FakeStore store;
    net::Address callers;
    net::Address readiness;
    net::HttpClient client;
    std::unique_ptr<Gateway> gateway;

private:
    Answer m_answer;
    std::array<std::unique_ptr<net::HttpServer>, 2> m_servers;
};

} // namespace auburndrum::gateway
