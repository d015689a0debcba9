#include "serverconnection.h"

#include "responsehead.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace auburndrum::net {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t MaxPipelinedRequests = 4;
constexpr std::chrono::milliseconds RejectLinger{500}; // time for the caller to read the refusal before the close

} // namespace

ServerConnection::ServerConnection(QTcpSocket *socket, const HttpServerOptions &options, const HttpServer::Handler &handler)
    : m_socket(socket)
    , m_options(options)
    , m_handler(handler)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &ServerConnection::handleTimer);
    connect(socket, &QTcpSocket::readyRead, this, &ServerConnection::handleReadyRead);
    connect(socket, &QTcpSocket::disconnected, this, &ServerConnection::handleDisconnected);
    m_timer.start(m_options.idleTimeout);
}

bool ServerConnection::isOpen() const
{
    return m_socket && m_socket->state() == QAbstractSocket::ConnectedState && !m_rejected;
}

qint64 ServerConnection::unsentBytes() const
{
    return m_socket ? m_socket->bytesToWrite() : 0;
}

void ServerConnection::write(const QByteArray &bytes)
{
    if (isOpen()) {
        m_socket->write(bytes);
    }
}

void ServerConnection::handleReadyRead()
{
    if (m_rejected) {
        return;
    }
    if (m_requestBytes == 0) {
        m_timer.start(m_options.requestTimeout);
    }
    // Runs before Qt's HTTP server reads: what can be peeked now is new.
    const QByteArray bytes = m_socket->peek(m_socket->bytesAvailable());
    m_requestBytes += bytes.size();
    if (!m_headComplete) {
        inspectHead(bytes);
    }
    if (!m_rejected && m_requestBytes > m_options.maxHeaderBytes + m_options.maxBodyBytes) {
        reject(413, "The request body is larger than allowed.");
    }
}

void ServerConnection::inspectHead(const QByteArray &bytes)
{
    m_head += bytes.left(m_options.maxHeaderBytes + 1 - m_head.size());
    const auto end = m_head.indexOf("\r\n\r\n");
    if (end < 0) {
        if (m_head.size() > m_options.maxHeaderBytes) {
            reject(431, "The request header is larger than allowed.");
        }
        return;
    }
    m_headComplete = true;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeaderBytes + 4));
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::beast::error_code ec;
    parser.put(boost::asio::buffer(m_head.constData(), static_cast<std::size_t>(end + 4)), ec);
    if (ec) {
        reject(400, "The request is not well-formed HTTP.");
        return;
    }
    if (parser.content_length().value_or(0) > static_cast<std::uint64_t>(m_options.maxBodyBytes)) {
        reject(413, "The request body is larger than allowed.");
        return;
    }
    if (parser.get()[http::field::expect] == "100-continue") {
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::reject(int status, const QByteArray &message)
{
    if (!isOpen()) {
        return;
    }
    const QByteArray body = m_options.errorBody ? m_options.errorBody(status, message) : message;
    m_socket->write(responseHead(status, {{"Content-Type", "application/json"}, {"Connection", "close"}}, body.size()) + body);
    m_rejected = true;
    // Nothing more is kept of what the caller sends; the connection lives on briefly so that the refusal can be read.
    QObject::disconnect(m_socket, &QTcpSocket::readyRead, nullptr, nullptr);
    if (m_socket->isTransactionStarted()) {
        m_socket->commitTransaction();
    }
    m_socket->readAll();
    connect(m_socket, &QTcpSocket::readyRead, this, [this] {
        m_socket->readAll();
    });
    m_timer.start(RejectLinger);
}

void ServerConnection::take(Exchange::Request request)
{
    m_requestBytes = 0;
    m_head.clear();
    m_headComplete = false;
    m_timer.stop();
    if (m_rejected) {
        return;
    }
    if (m_exchanges.size() >= MaxPipelinedRequests) {
        abort();
        return;
    }
    m_exchanges.push_back(std::make_shared<Exchange>(std::move(request), weak_from_this()));
    runNext();
}

void ServerConnection::runNext()
{
    if (m_running || m_exchanges.empty() || !isOpen()) {
        return;
    }
    m_running = true;
    const auto it = m_exchanges.front();
    m_handler(it);
}

void ServerConnection::completed(Exchange *exchange)
{
    if (m_exchanges.empty() || m_exchanges.front().get() != exchange) {
        return;
    }
    const auto done = m_exchanges.front();
    m_exchanges.pop_front();
    m_running = false;
    if (!isOpen()) {
        return;
    }
    if (m_exchanges.empty()) {
        m_timer.start(m_options.idleTimeout);
    }
    // The next request may wait already, here or unread in the socket.
    QMetaObject::invokeMethod(
        this,
        [self = shared_from_this()] {
            self->runNext();
            if (self->isOpen() && self->m_exchanges.empty() && self->m_socket->bytesAvailable() > 0) {
                Q_EMIT self->m_socket->readyRead();
            }
        },
        Qt::QueuedConnection);
}

void ServerConnection::abort()
{
    if (m_socket) {
        m_socket->abort();
    }
}

void ServerConnection::handleTimer()
{
    if (!m_socket) {
        return;
    }
    if (m_rejected) {
        m_socket->disconnectFromHost();
        return;
    }
    if (m_requestBytes > 0) {
        reject(408, "The request did not arrive in time.");
        return;
    }
    m_socket->disconnectFromHost();
}

void ServerConnection::handleDisconnected()
{
    m_timer.stop();
    const auto waiting = std::exchange(m_exchanges, {});
    for (const auto &it : waiting) {
        if (it->m_state == Exchange::State::Done || !it->m_onCallerGone) {
            continue;
        }
        const auto hook = std::exchange(it->m_onCallerGone, {});
        hook();
    }
}

} // namespace auburndrum::net
