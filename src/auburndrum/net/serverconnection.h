#pragma once

#include "auburndrum/net/httpserver.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <optional>

namespace auburndrum::net {

/// Guards one caller's connection: bounds what is read and answers its requests one after the other.
class ServerConnection : public QObject, public std::enable_shared_from_this<ServerConnection>
{
    Q_OBJECT

public:
    ServerConnection(QTcpSocket *socket, const HttpServerOptions &options, const HttpServer::Handler &handler);

    /// Refuses at once and closes.
    void reject(int status, const QByteArray &message);
    /// Tells the caller with its next answer that the connection closes.
    void closeAfterAnswer();
    /// Closes when no request is under way.
    void closeIfIdle();

    bool isOpen() const;
    int openExchanges() const
    {
        return m_exchange ? 1 : 0;
    }
    qint64 unsentBytes() const;
    void write(const QByteArray &bytes);
    std::vector<Header> withConnectionHeader(std::vector<Header> headers) const;
    void setReadingPaused(bool paused);
    void completed(Exchange *exchange);
    void abort();

private:
    void handleReadyRead();
    void handleDisconnected();
    void handleTimer();
    void readRequests();
    void feedParser();
    bool acceptHead();
    void deliverBody();
    void beginExchange(bool isComplete);
    void finishRequest();
    void becomeIdle();

    QPointer<QTcpSocket> m_socket;
    const HttpServerOptions &m_options;
    const HttpServer::Handler &m_handler;
    QTimer m_timer;
    QByteArray m_input; ///< read and not yet parsed
    QByteArray m_body; ///< parsed and not yet handed over
    std::optional<RequestParser> m_parser; ///< of the request being read
    std::chrono::steady_clock::time_point m_firstByteAt;
    bool m_headSeen = false;
    bool m_begun = false; ///< the request being read has reached the handler
    bool m_keepsAlive = true;
    bool m_rejected = false;
    bool m_paused = false;
    bool m_closeAfterAnswer = false;
    std::shared_ptr<Exchange> m_exchange; ///< the request being answered
};

} // namespace auburndrum::net
