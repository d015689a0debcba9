#include "serverconnection.h"

#include "socketstate.h"

namespace auburndrum::net {

namespace {

constexpr qint64 SocketBufferBytes = 64 * 1024; // limit on bytes read ahead of the handler; TCP flow control holds back the rest
constexpr int AnnouncedFifths = 4; // of the idle timeout

} // namespace

ServerConnection::ServerConnection(QTcpSocket *socket, const HttpServerOptions &options, const HttpServer::Handler &handler)
    : m_socket(socket)
    , m_options(options)
    , m_handler(handler)
{
    socket->setReadBufferSize(SocketBufferBytes);
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer); // a coarse timer ends up to 5% too early
    connect(&m_timer, &QTimer::timeout, this, &ServerConnection::handleTimer);
    connect(socket, &QTcpSocket::readyRead, this, &ServerConnection::handleReadyRead);
    connect(socket, &QTcpSocket::disconnected, this, &ServerConnection::handleDisconnected);
    connect(socket, &QTcpSocket::bytesWritten, this, [this] {
        if (m_exchange && m_exchange->m_onBytesSent) {
            m_exchange->m_onBytesSent();
        }
        if (!m_exchange && !m_parser) {
            m_idleSince = std::chrono::steady_clock::now(); // the timer, which started with the response's end, follows when it ends
        }
        endOnceWritten();
    });
    startIdleTime();
}

bool ServerConnection::isOpen() const
{
    return m_socket && m_socket->state() == QAbstractSocket::ConnectedState && !m_isLingering;
}

int ServerConnection::descriptor() const
{
    return m_socket ? static_cast<int>(m_socket->socketDescriptor()) : -1;
}

bool ServerConnection::hasPeerClosed() const
{
    return !isOpen() || net::hasPeerClosed(descriptor());
}

bool ServerConnection::isReadBufferFull() const
{
    return isOpen() && m_exchange && m_socket->bytesAvailable() >= SocketBufferBytes;
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

std::vector<Header> ServerConnection::withConnectionHeader(std::vector<Header> headers)
{
    if (m_closeAfterAnswer || !m_keepsAlive) {
        m_isCloseAnnounced = true;
        headers.push_back({"Connection", "close"});
        return headers;
    }
    // The rest of the limit is for what is on its way: a request that arrives after the close is lost.
    m_announcedIdle = std::chrono::floor<std::chrono::seconds>(std::min(m_options.idleTimeout * AnnouncedFifths / 5, m_options.maxAnnouncedIdle));
    if (m_announcedIdle.count() > 0) {
        headers.push_back({"Connection", "keep-alive"});
        headers.push_back({"Keep-Alive", "timeout=" + QByteArray::number(static_cast<qint64>(m_announcedIdle.count()))});
    }
    return headers;
}

void ServerConnection::closeAfterAnswer()
{
    m_closeAfterAnswer = true;
}

bool ServerConnection::isIdle() const
{
    return isOpen() && !m_exchange && !m_parser && m_input.isEmpty() && m_socket->bytesAvailable() == 0 && net::unreadBytes(descriptor()) == 0;
}

bool ServerConnection::isDelivered() const
{
    return unsentBytes() == 0 && net::unacknowledgedBytes(descriptor()).value_or(0) == 0;
}

void ServerConnection::startIdleTime()
{
    m_idleSince = std::chrono::steady_clock::now();
    m_timer.start(idleTime());
}

std::chrono::milliseconds ServerConnection::idleTime() const
{
    return std::max(m_options.idleTimeout, announcedIdleTime());
}

std::chrono::milliseconds ServerConnection::pauseTimeout() const
{
    return std::max(m_limits.pauseTimeout, m_options.idleTimeout);
}

std::chrono::milliseconds ServerConnection::announcedIdleTime() const
{
    return std::chrono::milliseconds(m_announcedIdle) * 5 / AnnouncedFifths;
}

void ServerConnection::extendIdleTime()
{
    const auto end = m_idleSince + idleTime();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    if (isIdle() && left > m_timer.remainingTimeAsDuration()) {
        m_timer.start(left);
    }
}

void ServerConnection::setReadingPaused(bool paused)
{
    m_paused = paused;
    if (m_isHandlerCalled) { // time in which nothing is read is not the caller's
        paused ? m_timer.stop() : m_timer.start(pauseTimeout());
    }
    if (!paused) {
        QMetaObject::invokeMethod(
            this,
            [self = shared_from_this()] {
                self->readRequests();
            },
            Qt::QueuedConnection);
    }
}

void ServerConnection::handleReadyRead()
{
    if (m_isLingering) {
        m_socket->readAll();
        return;
    }
    readRequests();
    watchForClose();
}

void ServerConnection::readRequests()
{
    const auto self = shared_from_this(); // a hook may release the last other reference
    // A pipelined request waits until the response to the previous one is complete.
    while (isOpen() && !m_paused && (!m_exchange || m_parser)) {
        const QByteArray more = m_socket->readAll();
        m_input += more;
        const qsizetype before = m_input.size();
        if (before == 0) {
            return;
        }
        feedParser();
        if (m_input.size() == before && more.isEmpty()) {
            return; // the header is still incomplete
        }
    }
}

void ServerConnection::feedParser()
{
    if (!m_parser) {
        m_partialBytes = 0;
        m_firstByteAt = std::chrono::steady_clock::now();
        m_unreadFor = sinceLastReceived(descriptor());
        m_isHeadAccepted = false;
        m_limits = {m_options.maxHeaderBytes, m_options.maxBodyBytes, m_options.bodyTimeout, m_options.idleTimeout};
        m_timer.start(m_options.requestTimeout);
        m_parser.emplace(m_limits.maxHeaderBytes, m_limits.maxBodyBytes, [this](const char *data, std::size_t size) {
            m_body.append(data, static_cast<qsizetype>(size));
        });
    }
    RequestParser::Error error = RequestParser::Error::None;
    const qsizetype used = m_parser->feed(m_input, error);
    m_input.remove(0, used);
    m_partialBytes += used;
    if (error == RequestParser::Error::Malformed) {
        reject(400, "The request is not well-formed HTTP.");
        return;
    }
    if (error == RequestParser::Error::HeaderTooLarge || (!m_parser->hasHead() && m_input.size() > m_limits.maxHeaderBytes)) {
        reject(431, "The request header is larger than allowed.");
        return;
    }
    if (error == RequestParser::Error::BodyTooLarge) {
        reject(413, "The request body is larger than allowed.");
        return;
    }
    if (!m_parser->hasHead()) {
        return;
    }
    if (!m_isHeadAccepted && !acceptHead()) {
        return;
    }
    deliverBody();
}

bool ServerConnection::acceptHead()
{
    m_isHeadAccepted = true;
    const RequestHead &head = m_parser->head();
    m_keepsAlive = m_parser->keepsAlive();
    if (head.bodyLength.value_or(0) > m_limits.maxBodyBytes) {
        reject(413, "The request body is larger than allowed.");
        return false;
    }
    if (headerValue(head.headers, "Expect").compare("100-continue", Qt::CaseInsensitive) == 0) {
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_limits.bodyTimeout) {
        m_timer.start(*m_limits.bodyTimeout);
    }
    return true;
}

void ServerConnection::deliverBody()
{
    const bool isDone = m_parser->isDone();
    if (!m_isHandlerCalled) {
        if (!isDone && m_body.size() <= m_options.bodyStreamingThreshold) {
            return;
        }
        startExchange(isDone);
        return;
    }
    m_timer.start(pauseTimeout());
    const QByteArray part = std::exchange(m_body, {});
    const auto exchange = m_exchange; // empty when the response was completed before the whole body arrived
    if (isDone) {
        finishRequest();
    }
    if (!exchange) {
        return;
    }
    exchange->m_bodyComplete = isDone;
    if (exchange->m_onBodyPart && (isDone || !part.isEmpty())) {
        const auto hook = exchange->m_onBodyPart;
        hook(part, isDone);
    }
}

void ServerConnection::startExchange(bool isComplete)
{
    Exchange::Request request{m_parser->head(), std::exchange(m_body, {}), m_socket->peerAddress(), m_firstByteAt, m_unreadFor};
    m_exchange = std::make_shared<Exchange>(std::move(request), weak_from_this());
    m_exchange->m_bodyComplete = isComplete;
    m_isHandlerCalled = true;
    ++m_requests;
    m_timer.stop();
    const auto exchange = m_exchange;
    if (isComplete) {
        finishRequest();
    } else {
        m_timer.start(pauseTimeout());
    }
    m_handler(exchange);
}

void ServerConnection::finishRequest()
{
    m_parser.reset();
    m_isHandlerCalled = false;
    m_timer.stop();
    if (!m_exchange) {
        becomeIdle();
    }
}

void ServerConnection::becomeIdle()
{
    if (m_isCloseAnnounced) {
        close("last response");
        return;
    }
    startIdleTime();
    // The next request may already be in m_input or unread in the socket.
    QMetaObject::invokeMethod(
        this,
        [self = shared_from_this()] {
            self->readRequests();
        },
        Qt::QueuedConnection);
}

void ServerConnection::onExchangeCompleted(Exchange *exchange)
{
    if (m_exchange.get() != exchange) {
        return;
    }
    const auto done = std::exchange(m_exchange, {});
    m_paused = false;
    if (!isOpen()) {
        return;
    }
    if (!m_parser) {
        becomeIdle();
        return;
    }
    // The response was completed before the whole body arrived: the rest of the body is read and discarded.
    setReadingPaused(false);
}

} // namespace auburndrum::net
