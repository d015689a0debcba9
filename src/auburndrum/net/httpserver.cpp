#include "auburndrum/net/httpserver.h"

#include "responsehead.h"
#include "serverconnection.h"

#include <QHttpServerRequest>
#include <QMetaEnum>
#include <QTcpServer>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>

namespace auburndrum::net {

namespace {

constexpr std::chrono::milliseconds TcpUserTimeout{20000}; // unacknowledged bytes for so long end the connection

void setTcpOptions(qintptr descriptor)
{
    const int one = 1;
    const auto userTimeout = static_cast<unsigned int>(TcpUserTimeout.count());
    setsockopt(static_cast<int>(descriptor), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(static_cast<int>(descriptor), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

QByteArray methodText(QHttpServerRequest::Method method)
{
    const char *key = QMetaEnum::fromType<QHttpServerRequest::Method>().valueToKey(static_cast<int>(method));
    return key ? QByteArray(key).toUpper() : QByteArray("UNKNOWN");
}

/// Makes a guarded socket for each connection before Qt's HTTP server sees it.
class GuardedTcpServer : public QTcpServer
{
public:
    using AcceptHook = std::function<bool(QTcpSocket *)>;

    GuardedTcpServer(AcceptHook onAccept, QObject *parent)
        : QTcpServer(parent)
        , m_onAccept(std::move(onAccept))
    {
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
        if (!m_onAccept(socket)) {
            return;
        }
        addPendingConnection(socket);
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

    bool accept(QTcpSocket *socket);

    HttpServerOptions options;
    Handler handler;
    std::map<QTcpSocket *, std::shared_ptr<ServerConnection>> connections;
};

bool HttpServer::Private::accept(QTcpSocket *socket)
{
    if (connections.size() >= static_cast<std::size_t>(options.maxConnections)) {
        const QByteArray body = options.errorBody ? options.errorBody(503, "Too many connections.") : QByteArray();
        socket->write(responseHead(503, {{"Content-Type", "application/json"}, {"Retry-After", "1"}, {"Connection", "close"}}, body.size()) + body);
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        socket->disconnectFromHost();
        return false;
    }
    socket->setReadBufferSize(options.maxHeaderBytes + options.maxBodyBytes + 1024);
    connections[socket] = std::make_shared<ServerConnection>(socket, options, handler);
    QObject::connect(socket, &QObject::destroyed, socket, [this, socket] {
        connections.erase(socket);
    });
    return true;
}

HttpServer::HttpServer(HttpServerOptions options, Handler handler, QObject *parent)
    : QAbstractHttpServer(parent)
    , d(std::make_unique<Private>(std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    for (const auto &[socket, connection] : d->connections) {
        socket->disconnect();
    }
    d->connections.clear();
}

Address HttpServer::listenOn(const Address &address)
{
    auto *server = new GuardedTcpServer(
        [this](QTcpSocket *socket) {
            return d->accept(socket);
        },
        this);
    if (!server->listen(address.host, address.port)) {
        delete server;
        return {address.host, 0};
    }
    bind(server);
    return {server->serverAddress(), server->serverPort()};
}

void HttpServer::stopListening()
{
    for (QTcpServer *it : servers()) {
        it->close();
    }
}

int HttpServer::connectionCount() const
{
    return static_cast<int>(d->connections.size());
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

bool HttpServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const auto it = d->connections.find(socket);
    if (it == d->connections.end()) {
        return false;
    }
    Exchange::Request copy;
    copy.method = methodText(request.method());
    copy.url = request.url();
    copy.body = request.body();
    copy.remoteAddress = request.remoteAddress();
    for (const auto &[name, value] : request.headers()) {
        copy.headers.push_back({name, value});
    }
    const auto connection = it->second;
    connection->take(std::move(copy));
    return true;
}

void HttpServer::missingHandler(const QHttpServerRequest & /*request*/, QTcpSocket *socket)
{
    socket->abort();
}

} // namespace auburndrum::net
