#pragma once

#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/net/tcpsocket.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// @brief Finds out when a VM is cut off from all backend servers, and when it reaches one again, and logs both changes.
///
/// After a server was out of reach, or a connection under a request was lost, it opens connections to some servers, without a request, and while the VM is cut
/// off to a random one now and then. A connection that is reset at once shows no path either. Lives on the event loop's thread.
class PathProbe : public QObject
{
    Q_OBJECT

public:
    explicit PathProbe(GatewayState &state, QObject *parent = nullptr);

private:
    struct Probe
    {
        std::string server;
        std::unique_ptr<net::TcpSocket> socket;
        Instant begunAt{};
        std::optional<Instant> connectedAt;
    };

    void handleUnreachable(const std::string &server, std::chrono::milliseconds waited);
    /// Tries connections to some servers.
    void connectToSome(std::vector<std::string> servers);
    void handleRegained();
    void tick();
    void connectToServer(const std::string &server);
    void handleProbeEnd(const std::string &server, bool isConnected);

    GatewayState &m_state;
    QTimer m_timer; ///< runs while there are probes or the VM is cut off
    std::vector<Probe> m_probes; ///< in progress
    Instant m_lostAt{};
};

} // namespace auburndrum::gateway
