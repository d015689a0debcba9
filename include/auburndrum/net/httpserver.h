#pragma once

#include "auburndrum/net/address.h"
#include "auburndrum/net/exchange.h"

#include <QObject>

#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

namespace auburndrum::net {

/// Bounds of one server. Each is enforced before the memory is spent.
struct HttpServerOptions
{
    qint64 maxHeaderBytes = 16 * 1024;
    qint64 maxBodyBytes = 8 * 1024 * 1024;
    int maxConnections = 4096;
    std::chrono::milliseconds requestTimeout{10000}; ///< from a request's first byte to its last, unless its body is streamed
    std::optional<std::chrono::milliseconds> bodyTimeout; ///< set: requestTimeout ends with the header, and this bounds the body
    std::chrono::milliseconds idleTimeout{75000}; ///< a kept-alive connection without a request, or a body without progress
    qint64 streamBodiesOver = std::numeric_limits<qint64>::max(); ///< longer bodies reach the handler before they are complete
    std::function<QByteArray(int status, const QByteArray &message)> errorBody; ///< JSON body of the server's own refusals
};

/// HTTP/1.1 server that hands each request to one handler as an Exchange.
class HttpServer : public QObject
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
    /// Replaces the bounds; connections heed them from their next request on.
    void setOptions(HttpServerOptions options);
    const HttpServerOptions &options() const;
    /// From now on each answer tells its caller that the connection closes behind it.
    void closeAfterAnswers();
    /// Closes the connections that wait for a request.
    void closeIdle();
    int connectionCount() const;
    /// Requests received and not yet answered in full.
    int openExchanges() const;
    /// Whether every answer is complete and its last byte has left this process.
    bool isIdle() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
