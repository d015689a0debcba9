#pragma once

#include "auburndrum/net/address.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <string>

namespace auburndrum::gateway {

/// A backend server of a test that writes arbitrary bytes, so that a response can end or go on in ways that an HTTP server doesn't produce.
class RawServer
{
public:
    /// Called once the header of a request has arrived on a new connection.
    using Responder = std::function<void(QTcpSocket *socket, const QByteArray &request)>;

    /// @param port 0: any free one
    explicit RawServer(Responder respond, quint16 port = 0)
    {
        m_server.listen(QHostAddress::LocalHost, port);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this, respond = std::move(respond)] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, respond] {
                const QByteArray request = socket->readAll();
                if (request.contains("\r\n\r\n")) {
                    ++m_requests;
                    respond(socket, request);
                }
            });
        });
    }

    QByteArray address() const
    {
        return QByteArray::fromStdString(net::toText({m_server.serverAddress(), m_server.serverPort()}));
    }
    quint16 port() const
    {
        return m_server.serverPort();
    }
    int requests() const
    {
        return m_requests;
    }

private:
    QTcpServer m_server;
    int m_requests = 0;
};

} // namespace auburndrum::gateway
