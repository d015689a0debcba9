#pragma once

#include "auburndrum/net/httpclient.h"

#include <QTcpSocket>
#include <QTimer>

#include <optional>

namespace auburndrum::net {

/// One TCP connection that carries one call at a time.
class ClientConnection : public QObject
{
    Q_OBJECT

public:
    using ReleasedHook = std::function<void(ClientConnection *, bool reusable)>;

    ClientConnection(const Address &peer, ReleasedHook onReleased);
    ~ClientConnection() override;

    const Address &peer() const
    {
        return m_peer;
    }
    bool isUsable() const;
    /// Returns the call's number, which cancel() asks for.
    std::uint64_t start(const HttpCall &call, HttpHooks hooks);
    void cancel(std::uint64_t callNumber);
    /// Stops listening to the socket, before a delayed deletion.
    void retire();

private:
    void handleConnected();
    void handleReadyRead();
    void handleDisconnected();
    void handleError();
    void handleTick();
    void sendRequest();
    void flushBody();
    void finish(HttpFailure failure);

    Address m_peer;
    ReleasedHook m_onReleased;
    QTcpSocket m_socket;
    QTimer m_tick;
    std::optional<HttpCall> m_call;
    HttpHooks m_hooks;
    std::unique_ptr<ResponseParser> m_parser;
    HttpResult m_result;
    QByteArray m_part;
    qint64 m_bodyBytes = 0;
    std::uint64_t m_callNumber = 0;
    bool m_connected = false;
    bool m_answerBegan = false;
    std::chrono::steady_clock::time_point m_lastProgress;
};

} // namespace auburndrum::net
