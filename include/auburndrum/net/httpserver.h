#pragma once

#include "auburndrum/net/address.h"
#include "auburndrum/net/exchange.h"

#include <QAbstractHttpServer>

#include <chrono>
#include <functional>
#include <memory>

namespace auburndrum::net {

/// Bounds of one server. Each is enforced before the memory is spent.
struct HttpServerOptions
{
    qint64 maxHeaderBytes = 16 * 1024;
    qint64 maxBodyBytes = 8 * 1024 * 1024;
    int maxConnections = 4096;
    std::chrono::milliseconds requestTimeout{10000}; ///< from a request's first byte to its last
    std::chrono::milliseconds idleTimeout{75000}; ///< a kept-alive connection without a request
    std::function<QByteArray(int status, const QByteArray &message)> errorBody; ///< JSON body of the server's own refusals
};

/// HTTP/1.1 server that hands each whole request to one handler as an Exchange.
class HttpServer : public QAbstractHttpServer
{
    Q_OBJECT

public:
    using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

    HttpServer(HttpServerOptions options, Handler handler, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Listens on `address` (port 0: any free one). Returns the address in use, with port 0 when it can't be had.
    Address listenOn(const Address &address);
    /// Stops taking new connections; open ones go on.
    void stopListening();
    int connectionCount() const;
    /// Requests received and not yet answered in full.
    int openExchanges() const;
    /// Whether every answer is complete and its last byte has left this process.
    bool isIdle() const;

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
