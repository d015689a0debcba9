#pragma once

#include "auburndrum/decision/traffic/originsearch.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/relaylink.h"

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <cstdint>
#include <map>
#include <string>

namespace auburndrum::gateway {

/// @brief Keeps the origins of streams at several entry VMs, and finds them there when a caller takes a stream up.
///
/// An origin goes to a few VMs in one datagram each, without an answer: a lost one costs the proof, never a wrong continuation. Searches are answered and
/// repeated. Datagrams use the port number of calls between VMs. Lives on the event loop's thread.
class StreamOriginLink : public QObject
{
    Q_OBJECT

public:
    StreamOriginLink(GatewayState &state, RelayLink &relayLink, QObject *parent = nullptr);

    /// Binds to this VM's address, which the relay link has by now. Returns false when the port is taken.
    bool start();

private:
    struct Search
    {
        std::string attempt;
        decision::OriginSearch decision;
        std::function<void(const OriginFinding &)> done;
        Instant begunAt{};
    };

    void record(const std::string &attempt, const decision::StreamOrigin &origin);
    void find(const std::string &attempt, std::function<void(const OriginFinding &)> done);
    std::vector<std::string> rankedPeers(const std::string &attempt) const;
    void advance();
    void scheduleAdvance();
    void sendTo(const std::string &vm, const std::string &message);
    void readDatagrams();
    void handleDatagram(const QByteArray &bytes, const net::Address &sender);

    GatewayState &m_state;
    RelayLink &m_relayLink;
    decision::StreamOrigins m_origins;
    QUdpSocket m_socket;
    QTimer m_timer;
    std::map<std::uint64_t, Search> m_searches; ///< by number
    std::uint64_t m_lastSearch = 0;
};

} // namespace auburndrum::gateway
