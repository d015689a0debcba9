#pragma once

#include "auburndrum/net/httpserver.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <deque>

namespace auburndrum::net {

/// Guards one caller's connection: bounds what is read and answers its requests one after the other.
class ServerConnection : public QObject, public std::enable_shared_from_this<ServerConnection>
{
    Q_OBJECT

public:
    ServerConnection(QTcpSocket *socket, const HttpServerOptions &options, const HttpServer::Handler &handler);

    /// Takes a request that the HTTP server has read in full.
    void take(Exchange::Request request);
    /// Refuses at once and closes.
    void reject(int status, const QByteArray &message);

    bool isOpen() const;
    bool isRejected() const
    {
        return m_rejected;
    }
    int openExchanges() const
    {
        return static_cast<int>(m_exchanges.size());
    }
    qint64 unsentBytes() const;
    void write(const QByteArray &bytes);
    void completed(Exchange *exchange);
    void abort();

private:
    void handleReadyRead();
    void handleDisconnected();
    void handleTimer();
    void inspectHead(const QByteArray &bytes);
    void runNext();

    QPointer<QTcpSocket> m_socket;
    const HttpServerOptions &m_options;
    const HttpServer::Handler &m_handler;
    QTimer m_timer;
    QByteArray m_head;
    qint64 m_requestBytes = 0;
    qint64 m_bodyLimit = 0;
    bool m_headComplete = false;
    bool m_rejected = false;
    bool m_running = false;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
};

} // namespace auburndrum::net
