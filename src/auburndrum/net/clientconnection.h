#pragma once

#include "auburndrum/net/httpclient.h"
#include "auburndrum/net/tcpsocket.h"

#include <QTimer>

#include <optional>
#include <set>

namespace auburndrum::net {

/// One TCP connection of HttpClient, which carries one call at a time.
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
    bool isReusable() const;
    /// Whether this connection has carried a call of this identity, so that a response to that one could be taken for a response to another.
    bool hasCarried(const QByteArray &identity) const;
    /// Sends a request, after connecting if necessary. Returns the number that identifies the call in the other functions.
    std::uint64_t start(const HttpCall &call, HttpHooks hooks);
    void cancel(std::uint64_t callNumber);
    void writeBody(std::uint64_t callNumber, const QByteArray &part, bool last);
    bool isSent(std::uint64_t callNumber) const;
    qint64 unsentBytes() const;
    qint64 unacknowledgedBytes(std::uint64_t callNumber) const;
    void setReadingPaused(std::uint64_t callNumber, bool paused);
    /// How long the peer keeps an idle connection open, from the Keep-Alive field of its last response; not set when it sent none.
    std::optional<std::chrono::milliseconds> peerIdleTimeout() const
    {
        return m_peerIdleTimeout;
    }
    /// Closes the socket and disables onReleased, before a deferred deletion.
    void disable();

private:
    void handleConnected();
    void handleData(const QByteArray &bytes);
    void handleEnd(TcpEnd how);
    void handleTimer();
    void sendRequest();
    void makeParser();
    void handleHead(const HttpHead &head);
    std::chrono::milliseconds currentTimeout() const;
    void flushBody();
    void finish(HttpFailure failure);

    Address m_peer;
    ReleasedHook m_onReleased;
    TcpSocket m_socket;
    QTimer m_timer;
    QTimer m_wholeTimer; ///< for HttpCall::wholeTimeout
    std::optional<HttpCall> m_call;
    HttpHooks m_hooks;
    std::unique_ptr<ResponseParser> m_parser;
    HttpResult m_result;
    QByteArray m_unreportedBody;
    qint64 m_bodyBytes = 0;
    std::uint64_t m_callNumber = 0;
    std::set<std::size_t> m_identities; ///< digests of those of the calls so far
    bool m_connected = false;
    bool m_isBodySent = false; ///< whether the request was passed to the socket to its end
    bool m_paused = false;
    int m_skippedResponses = 0;
    qint64 m_skippedBytes = 0;
    bool m_skipsResponse = false; ///< the response being read is interim or belongs to another call
    std::optional<std::chrono::milliseconds> m_peerIdleTimeout;
    bool m_responseStarted = false;
    bool m_isSilenceCertain = false; ///< all that had arrived was handled before the timer ran
    bool m_hasTrailingBytes = false; ///< bytes arrived after the complete response
    std::chrono::steady_clock::time_point m_lastProgress;
};

} // namespace auburndrum::net
