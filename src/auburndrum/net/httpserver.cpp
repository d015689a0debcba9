#include "auburndrum/net/httpserver.h"

#include "responsehead.h"
#include "serverconnection.h"
#include "socketstate.h"

#include <QTcpServer>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>

namespace auburndrum::net {

namespace {

constexpr std::chrono::milliseconds TcpUserTimeout{20000}; // a connection whose sent bytes stay unacknowledged this long is closed
constexpr std::size_t MaxRefusedConnections = 64; // that are open at once
constexpr int ListenBacklog = 512; // connections that wait for accept(); when the queue is full, a caller waits seconds for its SYN to be sent again

void setTcpOptions(qintptr descriptor)
{
    const int one = 1;
    const auto userTimeout = static_cast<unsigned int>(TcpUserTimeout.count());
    setsockopt(static_cast<int>(descriptor), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(static_cast<int>(descriptor), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

/// Sets the TCP options of each accepted connection and passes its socket to a hook.
class TcpListener : public QTcpServer
{
public:
    using AcceptHook = std::function<void(QTcpSocket *)>;

    TcpListener(AcceptHook onAccept, QObject *parent)
        : QTcpServer(parent)
        , m_onAccept(std::move(onAccept))
    {
        setListenBacklogSize(ListenBacklog);
    }

    /// Accepts the connections that the system has established, and returns their number; closing the listener would reset them.
    int acceptEstablished()
    {
        const auto listener = static_cast<int>(socketDescriptor());
        int accepted = 0;
        while (true) {
            const int it = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (it >= 0) {
                incomingConnection(it);
                ++accepted;
                continue;
            }
            if (errno != EINTR && errno != ECONNABORTED) {
                return accepted;
            }
        }
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        auto *socket = new QTcpSocket(this);
        if (!socket->setSocketDescriptor(descriptor)) {
            delete socket;
            return;
        }
        setTcpOptions(descriptor);
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        m_onAccept(socket);
    }

private:
    AcceptHook m_onAccept;
};

} // namespace

class HttpServer::Private
{
public:
    Private(HttpServerOptions options, Handler handler)
        : options(std::move(options))
        , handler(std::move(handler))
    {
    }

    void accept(QTcpSocket *socket);
    /// Answers 503 and discards what the caller sends, so that it can read that; above MaxRefusedConnections of these at once, resets the connection.
    void refuse(QTcpSocket *socket);

    HttpServerOptions options;
    Handler handler;
    std::map<QTcpSocket *, std::shared_ptr<ServerConnection>> connections;
    std::map<QTcpSocket *, std::shared_ptr<ServerConnection>> refused; ///< connections over the limit
    TcpListener *server = nullptr;
    bool closesAfterAnswers = false;
};

void HttpServer::Private::accept(QTcpSocket *socket)
{
    if (connections.size() >= static_cast<std::size_t>(options.maxConnections)) {
        refuse(socket);
        return;
    }
    const auto connection = std::make_shared<ServerConnection>(socket, options, handler);
    if (closesAfterAnswers) {
        connection->closeAfterAnswer();
    }
    connections[socket] = connection;
    QObject::connect(socket, &QObject::destroyed, socket, [this, socket] {
        connections.erase(socket);
    });
}

void HttpServer::Private::refuse(QTcpSocket *socket)
{
    if (refused.size() >= MaxRefusedConnections) {
        if (options.onUnfinishedClose) {
            const auto descriptor = static_cast<int>(socket->socketDescriptor());
            options.onUnfinishedClose(
                {.reason = "connection limit", .unreadBytes = unreadBytes(descriptor), .sinceLastReceived = sinceLastReceived(descriptor)});
        }
        socket->abort();
        return;
    }
    const auto connection = std::make_shared<ServerConnection>(socket, options, handler);
    refused[socket] = connection;
    QObject::connect(socket, &QObject::destroyed, socket, [this, socket] {
        refused.erase(socket);
    });
    connection->reject(503, "Too many connections.", {{"Retry-After", "1"}});
}

HttpServer::HttpServer(HttpServerOptions options, Handler handler, QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>(std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    for (const auto &[socket, connection] : d->connections) {
        socket->disconnect();
    }
    for (const auto &[socket, connection] : d->refused) {
        socket->disconnect();
    }
    d->connections.clear();
    d->refused.clear();
}

Address HttpServer::listenOn(const Address &address)
{
    d->server = new TcpListener(
        [this](QTcpSocket *socket) {
            d->accept(socket);
        },
        this);
    if (!d->server->listen(address.host, address.port)) {
        delete std::exchange(d->server, nullptr);
        return {address.host, 0};
    }
    return {d->server->serverAddress(), d->server->serverPort()};
}

int HttpServer::stopListening()
{
    if (!isListening()) {
        return 0;
    }
    const int accepted = d->server->acceptEstablished();
    d->server->close();
    return accepted;
}

bool HttpServer::isListening() const
{
    return d->server != nullptr && d->server->isListening();
}

void HttpServer::setOptions(HttpServerOptions options)
{
    d->options = std::move(options);
    for (const auto &[socket, connection] : d->connections) {
        connection->extendIdleTime();
    }
}

const HttpServerOptions &HttpServer::options() const
{
    return d->options;
}

void HttpServer::closeAfterAnswers()
{
    d->closesAfterAnswers = true;
    for (const auto &[socket, connection] : d->connections) {
        connection->closeAfterAnswer();
    }
}

void HttpServer::closeIdleConnections(std::chrono::milliseconds minIdle)
{
    const auto all = d->connections; // a copy, because closing a connection changes the map
    for (const auto &[socket, connection] : all) {
        connection->closeIfIdle(minIdle);
    }
}

void HttpServer::closeRestedConnections(std::chrono::milliseconds minIdle)
{
    const auto all = d->connections; // a copy, because closing a connection changes the map
    for (const auto &[socket, connection] : all) {
        connection->closeIfIdle(std::max(minIdle, connection->announcedIdleTime()));
    }
}

void HttpServer::refuseUnreadRequests()
{
    const auto all = d->connections; // a copy, because closing a connection changes the map
    for (const auto &[socket, connection] : all) {
        connection->refuseUnreadRequest();
    }
}

void HttpServer::flush()
{
    const auto all = d->connections; // a copy, because the last byte of an answer may close its connection
    for (const auto &[socket, connection] : all) {
        connection->flush();
    }
}

int HttpServer::connectionCount() const
{
    return static_cast<int>(d->connections.size());
}

bool HttpServer::hasConnectionFromBefore(std::chrono::steady_clock::time_point time) const
{
    return std::any_of(d->connections.begin(), d->connections.end(), [time](const auto &it) {
        return it.second->acceptedAt() < time;
    });
}

int HttpServer::openExchanges() const
{
    int n = 0;
    for (const auto &[socket, connection] : d->connections) {
        n += connection->openExchanges();
    }
    return n;
}

bool HttpServer::isIdle() const
{
    return std::all_of(d->connections.begin(), d->connections.end(), [](const auto &it) {
        return it.second->openExchanges() == 0 && it.second->unsentBytes() == 0;
    });
}

} // namespace auburndrum::net
