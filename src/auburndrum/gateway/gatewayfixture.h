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
/// Routes by path: /once/ and /single/ (unsafe, two servers and one), /slow/ (unsafe, with a timeout of 10 s), /safe/, /stream/ (resumable) and /brief/ (not
/// resumable, removed in configuration version 5). A request with the header Model is a prompt, whose parts the header Parts lists. The operator's key
/// "weights" names weights of the model "m"; a server's value is its address, with the version of its weights and that of its software after blanks. The header
/// Last names the last event that the caller has, Resumes the attempt that received the first one.
class GatewayFixture
{
public:
    using Responder = std::function<void(const std::shared_ptr<net::Exchange> &, int call)>;

    /// Called before the gateway starts, with its options.
    using Preparation = std::function<void(GatewayFixture &, GatewayOptions &)>;

    /// A further gateway before the same store and servers.
    struct Other
    {
        net::Address callerAddress;
        std::unique_ptr<Gateway> gateway;
    };

    explicit GatewayFixture(Responder answer, bool isConfigured = true, const Preparation &prepare = {});

    /// Whether the log has at least `count` lines of this event.
    bool hasLogged(const std::string &event, int count = 1) const;
    /// The last log line of this event.
    const nlohmann::json &lastLine(const std::string &event) const;
    net::HttpResult sendRequest(const QByteArray &target, const QByteArray &method = "POST", const QByteArray &key = "key");
    /// Sends a request to a gateway of startGateway().
    net::HttpResult sendRequestTo(const net::Address &gatewayAddress,
                                  const QByteArray &target,
                                  const QByteArray &method = "POST",
                                  const QByteArray &key = "key");
    Other startGateway(const std::string &vm);

    std::vector<nlohmann::json> logLines;
    std::vector<std::shared_ptr<net::Exchange>> receivedRequests; ///< requests that reached a backend server
    std::vector<QByteArray> serverAddresses;
    decision::CallerLimits limits; ///< of the configuration; set them in a Preparation
    QByteArray requestBody = "body";
    QByteArray requestId = "request-1";
    std::vector<net::Header> extraHeaders; ///< added to each request of the caller
    FakeStore store;
    net::Address callerAddress;
    net::Address readinessAddress;
    net::HttpClient client;
    std::unique_ptr<Gateway> gateway;

private:
    std::unique_ptr<Gateway> makeGateway(const std::string &vm);

    Responder m_responder;
    GatewayOptions m_options;
    int m_gateways = 0;
    std::array<std::unique_ptr<net::HttpServer>, 2> m_servers;
};

} // namespace auburndrum::gateway
