#pragma once

#include "auburndrum/entry/entryerror.h"
#include "auburndrum/entry/peercuts.h"
#include "auburndrum/net/httpclient.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburndrum::entry {

/// Name of the header that carries the fleet's secret.
constexpr const char *FleetSecretHeader = "X-Fleet-Secret";
/// Name of the header that carries the calling entry VM's name.
constexpr const char *PeerNameHeader = "X-Peer-Name";
/// Approximate HTTP bytes of a call besides the bodies of request and response.
constexpr std::size_t HttpOverheadBytes = 320;

struct PeerClientOptions
{
    std::string name; ///< name of this entry VM
    std::string fleetSecret;
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds answerTimeout{1000};
};

/// One JSON-RPC call to an entry VM.
struct PeerCall
{
    std::string peer; ///< name, compared with PeerCuts; may be empty when only the address is known
    std::string address; ///< "IP:PORT"
    std::string method;
    std::string paramsJson;
};

/// Calls other entry VMs by JSON-RPC over HTTP. Never sends a call twice. When the client is destroyed, pending calls end without running their hook.
/// Lives on the event loop's thread.
class PeerClient
{
public:
    /// Receives the result as JSON text.
    using Done = std::function<void(EntryResult<std::string>)>;

    /// @p cuts and @p http outlive this object.
    PeerClient(net::HttpClient &http, const PeerCuts &cuts, PeerClientOptions options);

    /// Starts a call. @p done runs once, later, never inside this function.
    void call(const PeerCall &call, Done done);
    /// Sets a hook that receives the number of bytes of each call, both directions together.
    void setOnBytesTransferred(std::function<void(std::size_t)> hook);

private:
    void handleResult(const net::HttpResult &result, std::size_t requestBytes, const Done &done) const;

    void failLater(EntryError error, Done done);

    net::HttpClient &m_http;
    const PeerCuts &m_cuts;
    PeerClientOptions m_options;
    std::function<void(std::size_t)> m_onBytesTransferred;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< expires with this object; pending calls hold a weak pointer to it
};

} // namespace auburndrum::entry
