#pragma once

#include "auburndrum/net/httpclient.h"
#include "auburndrum/net/tcpsocket.h"

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
    void writeBody(std::uint64_t callNumber, const QByteArray &part, bool last);
    qint64 unsentBytes() const;
    void setReadingPaused(std::uint64_t callNumber, bool paused);
    /// How long the peer keeps an idle connection, as it said itself.
    std::optional<std::chrono::milliseconds> peerIdleLimit() const
    {
        return m_peerIdleLimit;
    }
    /// Stops listening to the socket, before a delayed deletion.
    void retire();

private:
    void handleConnected();
    void handleData(const QByteArray &bytes);
    void handleEnd(TcpEnd how);
    void handleTimer();
    void sendRequest();
    void makeParser();
    void takeHead(const HttpHead &head);
    std::chrono::milliseconds limitNow() const;
    void flushBody();
    void finish(HttpFailure failure);

    Address m_peer;
    ReleasedHook m_onReleased;
    TcpSocket m_socket;
    QTimer m_timer;
    std::optional<HttpCall> m_call;
    HttpHooks m_hooks;
    std::unique_ptr<ResponseParser> m_parser;
    HttpResult m_result;
    QByteArray m_part;
    qint64 m_bodyBytes = 0;
    std::uint64_t m_callNumber = 0;
    bool m_connected = false;
    bool m_paused = false;
    bool m_skipsAnswer = false; ///< the answer being read belongs to another call
    std::optional<std::chrono::milliseconds> m_peerIdleLimit;
    bool m_answerBegan = false;
    bool m_answerExceeded = false; ///< bytes followed a whole answer
    std::chrono::steady_clock::time_point m_lastProgress;
};

} // namespace auburndrum::net
