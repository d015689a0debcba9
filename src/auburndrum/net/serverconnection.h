#pragma once

#include "auburndrum/net/httpserver.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <optional>

namespace auburndrum::net {

/// One caller's connection: limits size and time of its requests and handles them one after the other.
class ServerConnection : public QObject, public std::enable_shared_from_this<ServerConnection>
{
    Q_OBJECT

public:
    ServerConnection(QTcpSocket *socket, const HttpServerOptions &options, const HttpServer::Handler &handler);

    /// Sends an error response and closes the connection shortly afterwards.
    void reject(int status, const QByteArray &message, const std::vector<Header> &headers = {});
    /// Sends "Connection: close" with the next response and closes the connection after it.
    void closeAfterAnswer();
    /// Closes the connection when it has been without a request for `minIdle`, and none has arrived unread. With a time, the caller must have got the last
    /// response, too.
    void closeIfIdle(std::chrono::milliseconds minIdle);
    /// Time for which the connection is kept after a response that announced how long its caller may use it; 0: the last one announced nothing.
    std::chrono::milliseconds announcedIdleTime() const;
    /// Lets a connection that waits for a request follow a longer idle timeout. A shorter one holds from its next wait on, as its caller may not know it yet.
    void extendIdleTime();

    /// Refuses the request of which only a part was read; does nothing when the handler has it.
    void refuseUnreadRequest();

    /// Passes to the operating system what it takes of the answers without waiting.
    void flush();

    bool isOpen() const;
    std::chrono::steady_clock::time_point acceptedAt() const
    {
        return m_acceptedAt;
    }
    int openExchanges() const
    {
        return m_exchange ? 1 : 0;
    }
    /// Whether the peer has closed its side, also behind bytes that are still unread. Asks the operating system.
    bool hasPeerClosed() const;
    qint64 unsentBytes() const;
    void write(const QByteArray &bytes);
    /// Adds the fields that tell the caller whether the connection closes after this response, or for how long it is kept.
    std::vector<Header> withConnectionHeader(std::vector<Header> headers);
    void setReadingPaused(bool paused);
    void onExchangeCompleted(Exchange *exchange);
    /// Serves no further request, and closes the connection once the caller has what was written, or has taken too long for it.
    void closeOnceWritten();
    void abort();

private:
    void handleReadyRead();
    void handleDisconnected();
    void handleTimer();
    void readRequests();
    void feedParser();
    bool acceptHead();
    void deliverBody();
    void startExchange(bool isComplete);
    void finishRequest();
    void becomeIdle();
    /// Closes the connection after the responses' last bytes, and reports that, with what lies on it unanswered.
    void close(const char *reason);
    /// Reports what lies unanswered on a connection that the server ends.
    void reportUnfinished(const char *reason) const;
    /// Lets the connection linger for a time in which the caller can read the last response; what it sends meanwhile is discarded.
    void linger(std::chrono::milliseconds time);
    void endOnceWritten();
    /// Looks for the peer's close while the socket's buffer is full, since the socket reports no close then.
    void watchForClose();
    bool isReadBufferFull() const;
    /// Whether the connection waits for a request of which nothing has arrived yet.
    bool isIdle() const;
    /// Whether the caller's system has all that was written.
    bool isDelivered() const;
    void startIdleTime();
    /// The limit, or what goes with the time that the last response announced, if that is longer.
    std::chrono::milliseconds idleTime() const;
    /// Between two parts of a streamed body: a longer time holds at once, a shorter one from the next request on.
    std::chrono::milliseconds pauseTimeout() const;
    int descriptor() const;

    /// The server's limits on one request that hold beyond one step, as they were when the reading of it began.
    struct RequestLimits
    {
        qint64 maxHeaderBytes = 0;
        qint64 maxBodyBytes = 0;
        std::optional<std::chrono::milliseconds> bodyTimeout;
        std::chrono::milliseconds pauseTimeout{0}; ///< between two parts of a streamed body; see pauseTimeout()
    };

    QPointer<QTcpSocket> m_socket;
    const HttpServerOptions &m_options;
    const HttpServer::Handler &m_handler;
    const std::chrono::steady_clock::time_point m_acceptedAt = std::chrono::steady_clock::now();
    QTimer m_timer;
    QByteArray m_input; ///< bytes read from the socket and not yet parsed
    QByteArray m_body; ///< part of the body that is parsed and not yet passed to the handler
    RequestLimits m_limits; ///< of the request being read
    std::optional<RequestParser> m_parser; ///< parser of the request being read; not set between requests
    std::chrono::steady_clock::time_point m_firstByteAt;
    std::chrono::steady_clock::time_point m_idleSince; ///< when the connection was accepted, or the operating system took the last byte of its last response
    std::chrono::seconds m_announcedIdle{0}; ///< for which the last response told that the connection is kept; 0: it told nothing
    std::optional<std::chrono::milliseconds> m_unreadFor; ///< time for which the bytes that were read then had waited
    qint64 m_partialBytes = 0; ///< read of the request that is being read
    bool m_isHeadAccepted = false;
    bool m_isHandlerCalled = false; ///< the request being read was passed to the handler
    bool m_keepsAlive = true;
    bool m_isLingering = false; ///< the last response was written; input is discarded
    bool m_endsOnceWritten = false; ///< the caller is to see the end of the connection after the last byte
    bool m_paused = false;
    bool m_closeAfterAnswer = false;
    bool m_isCloseAnnounced = false; ///< the last response told that the connection closes after it
    bool m_isWatchingForClose = false;
    int m_requests = 0; ///< passed to the handler
    std::shared_ptr<Exchange> m_exchange; ///< the request whose response is not complete yet
};

} // namespace auburndrum::net
