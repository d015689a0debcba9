#include "auburndrum/net/httpclient.h"

#include "clientconnection.h"

#include <map>
#include <set>

namespace auburndrum::net {

namespace {

constexpr std::size_t IdleConnectionsPerPeer = 16;
constexpr std::chrono::seconds PeerIdleMargin{1}; // the peer states its idle timeout in whole seconds, and the request takes time to arrive

struct IdleConnection
{
    std::shared_ptr<ClientConnection> connection;
    std::chrono::steady_clock::time_point since;
};

} // namespace

const char *toText(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::None:
        return "none";
    case HttpFailure::ConnectFailed:
        return "connect failed";
    case HttpFailure::ConnectTimeout:
        return "connect timed out";
    case HttpFailure::FirstByteTimeout:
        return "no answer in time";
    case HttpFailure::IdleTimeout:
        return "answer went silent";
    case HttpFailure::Closed:
        return "connection closed";
    case HttpFailure::Malformed:
        return "malformed answer";
    case HttpFailure::TooLarge:
        return "answer too large";
    case HttpFailure::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

HttpCallHandle::HttpCallHandle(std::weak_ptr<ClientConnection> connection, std::uint64_t callNumber)
    : m_connection(std::move(connection))
    , m_callNumber(callNumber)
{
}

void HttpCallHandle::cancel()
{
    if (const auto it = m_connection.lock()) {
        m_connection.reset();
        it->cancel(m_callNumber);
    }
}

void HttpCallHandle::writeBody(const QByteArray &part, bool last)
{
    if (const auto it = m_connection.lock()) {
        it->writeBody(m_callNumber, part, last);
    }
}

bool HttpCallHandle::isSent() const
{
    const auto it = m_connection.lock();
    return it && it->isSent(m_callNumber);
}

qint64 HttpCallHandle::unsentBytes() const
{
    const auto it = m_connection.lock();
    return it ? it->unsentBytes() : 0;
}

qint64 HttpCallHandle::unacknowledgedBytes() const
{
    const auto it = m_connection.lock();
    return it ? it->unacknowledgedBytes(m_callNumber) : 0;
}

void HttpCallHandle::setReadingPaused(bool paused)
{
    if (const auto it = m_connection.lock()) {
        it->setReadingPaused(m_callNumber, paused);
    }
}

class HttpClient::Private
{
public:
    std::shared_ptr<ClientConnection> acquireConnection(const HttpCall &call);
    void release(ClientConnection *connection, bool reusable);
    void closeIdleConnections(const Address &peer);

    std::uint64_t openedConnections = 0;

private:
    std::shared_ptr<ClientConnection> acquireIdleConnection(const std::string &key, const HttpCall &call);

    std::map<std::string, std::vector<IdleConnection>> m_idle;
    std::map<ClientConnection *, std::shared_ptr<ClientConnection>> m_busy;
};

std::shared_ptr<ClientConnection> HttpClient::Private::acquireIdleConnection(const std::string &key, const HttpCall &call)
{
    auto &list = m_idle[key];
    const auto now = std::chrono::steady_clock::now();
    // The most recently used connection comes first: it is the least likely to have been closed by the peer.
    for (std::size_t n = list.size(); n > 0; --n) {
        const IdleConnection it = list[n - 1];
        if (it.connection->hasCarried(call.identity)) {
            continue;
        }
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(n - 1));
        const auto limit = it.connection->peerIdleTimeout();
        const auto age = now - it.since;
        if (age >= call.maxIdleTime || (limit && age + PeerIdleMargin >= *limit) || !it.connection->isReusable()) {
            continue;
        }
        return it.connection;
    }
    return nullptr;
}

std::shared_ptr<ClientConnection> HttpClient::Private::acquireConnection(const HttpCall &call)
{
    std::shared_ptr<ClientConnection> it;
    if (!call.freshConnection) {
        it = acquireIdleConnection(toText(call.peer), call);
    }
    if (!it) {
        ++openedConnections;
        it = std::shared_ptr<ClientConnection>(new ClientConnection(call.peer,
                                                                    [this](ClientConnection *connection, bool reusable) {
                                                                        release(connection, reusable);
                                                                    }),
                                               [](ClientConnection *connection) {
                                                   connection->disable();
                                                   connection->deleteLater();
                                               });
    }
    m_busy[it.get()] = it;
    return it;
}

void HttpClient::Private::release(ClientConnection *connection, bool reusable)
{
    const std::string key = toText(connection->peer());
    auto &list = m_idle[key];
    const auto busy = m_busy.find(connection);
    if (busy == m_busy.end()) {
        // The peer closed an idle connection or sent unsolicited bytes on it.
        std::erase_if(list, [connection](const IdleConnection &it) {
            return it.connection.get() == connection;
        });
        return;
    }
    if (reusable && list.size() < IdleConnectionsPerPeer) {
        list.push_back({busy->second, std::chrono::steady_clock::now()});
    }
    m_busy.erase(busy);
}

void HttpClient::Private::closeIdleConnections(const Address &peer)
{
    m_idle.erase(toText(peer));
}

HttpClient::HttpClient(QObject *parent)
    : QObject(parent)
    , d(std::make_unique<Private>())
{
}

HttpClient::~HttpClient() = default;

HttpCallHandle HttpClient::start(const HttpCall &call, HttpHooks hooks)
{
    const auto it = d->acquireConnection(call);
    return {it, it->start(call, std::move(hooks))};
}

std::uint64_t HttpClient::openedConnections() const
{
    return d->openedConnections;
}

void HttpClient::closeIdleConnections(const Address &peer)
{
    d->closeIdleConnections(peer);
}

} // namespace auburndrum::net
