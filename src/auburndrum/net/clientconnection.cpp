#include "clientconnection.h"

#include <algorithm>

namespace auburndrum::net {

namespace {

constexpr std::chrono::milliseconds ShortestTick{5};
constexpr int TicksPerLimit = 4;

QByteArray requestHead(const HttpCall &call)
{
    QByteArray buf;
    buf.reserve(512);
    buf += call.method + ' ' + call.target + " HTTP/1.1\r\n";
    buf += "Host: " + QByteArray::fromStdString(toText(call.peer)) + "\r\n";
    for (const Header &it : call.headers) {
        buf += it.name + ": " + it.value + "\r\n";
    }
    if (!call.body.isEmpty() || call.method != "GET") {
        buf += "Content-Length: " + QByteArray::number(call.body.size()) + "\r\n";
    }
    buf += "\r\n";
    return buf;
}

std::chrono::milliseconds tickFor(const HttpCall &call)
{
    const auto shortest = std::min({call.connectTimeout, call.firstByteTimeout, call.idleTimeout});
    return std::max(ShortestTick, shortest / TicksPerLimit);
}

} // namespace

ClientConnection::ClientConnection(const Address &peer, ReleasedHook onReleased)
    : m_peer(peer)
    , m_onReleased(std::move(onReleased))
{
    connect(&m_socket, &QTcpSocket::connected, this, &ClientConnection::handleConnected);
    connect(&m_socket, &QTcpSocket::readyRead, this, &ClientConnection::handleReadyRead);
    connect(&m_socket, &QTcpSocket::disconnected, this, &ClientConnection::handleDisconnected);
    connect(&m_socket, &QTcpSocket::errorOccurred, this, &ClientConnection::handleError);
    connect(&m_tick, &QTimer::timeout, this, &ClientConnection::handleTick);
}

ClientConnection::~ClientConnection()
{
    retire();
}

void ClientConnection::retire()
{
    m_socket.disconnect(this);
    m_onReleased = [](ClientConnection *, bool) {
    };
}

bool ClientConnection::isUsable() const
{
    return m_socket.state() == QAbstractSocket::ConnectedState && m_socket.bytesAvailable() == 0;
}

std::uint64_t ClientConnection::start(const HttpCall &call, HttpHooks hooks)
{
    ++m_callNumber;
    m_call = call;
    m_hooks = std::move(hooks);
    m_result = {};
    m_part.clear();
    m_bodyBytes = 0;
    m_answerBegan = false;
    m_lastProgress = std::chrono::steady_clock::now();
    m_parser = std::make_unique<ResponseParser>(
        [this](const HttpHead &head) {
            m_result.head = head;
            if (m_hooks.onHead) {
                m_hooks.onHead(head);
            }
        },
        [this](const char *data, std::size_t size) {
            m_part.append(data, static_cast<qsizetype>(size));
        });
    m_tick.start(tickFor(call));
    if (m_connected) {
        sendRequest();
        return m_callNumber;
    }
    m_socket.connectToHost(m_peer.host, m_peer.port);
    return m_callNumber;
}

void ClientConnection::cancel(std::uint64_t callNumber)
{
    if (m_call && callNumber == m_callNumber) {
        finish(HttpFailure::Cancelled);
    }
}

void ClientConnection::handleConnected()
{
    m_connected = true;
    m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket.setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    if (m_call) {
        sendRequest();
    }
}

void ClientConnection::sendRequest()
{
    m_result.sent = true;
    m_lastProgress = std::chrono::steady_clock::now();
    m_socket.write(requestHead(*m_call));
    if (!m_call->body.isEmpty()) {
        m_socket.write(m_call->body);
    }
}

void ClientConnection::handleReadyRead()
{
    if (!m_call) {
        // Bytes that nobody asked for: the connection is out of step.
        m_socket.abort();
        return;
    }
    m_answerBegan = true;
    m_lastProgress = std::chrono::steady_clock::now();
    if (!m_parser->feed(m_socket.readAll())) {
        finish(HttpFailure::Malformed);
        return;
    }
    if (!m_call) {
        return; // a hook cancelled
    }
    flushBody();
    if (m_call && m_parser->isDone()) {
        finish(HttpFailure::None);
    }
}

void ClientConnection::flushBody()
{
    if (m_part.isEmpty()) {
        return;
    }
    m_bodyBytes += m_part.size();
    if (m_bodyBytes > m_call->maxBodyBytes) {
        finish(HttpFailure::TooLarge);
        return;
    }
    if (!m_hooks.onBody) {
        m_result.body += m_part;
        m_part.clear();
        return;
    }
    const QByteArray part = std::exchange(m_part, {});
    m_hooks.onBody(part);
}

void ClientConnection::handleDisconnected()
{
    if (!m_call) {
        m_onReleased(this, false);
        return;
    }
    if (m_answerBegan && m_parser->finishAtClose()) {
        flushBody();
        finish(HttpFailure::None);
        return;
    }
    finish(HttpFailure::Closed);
}

void ClientConnection::handleError()
{
    if (m_call && !m_connected) {
        finish(HttpFailure::ConnectFailed);
    }
}

void ClientConnection::handleTick()
{
    const auto silence = std::chrono::steady_clock::now() - m_lastProgress;
    if (!m_connected) {
        if (silence >= m_call->connectTimeout) {
            finish(HttpFailure::ConnectTimeout);
        }
        return;
    }
    if (!m_answerBegan) {
        if (silence >= m_call->firstByteTimeout) {
            finish(HttpFailure::FirstByteTimeout);
        }
        return;
    }
    if (silence >= m_call->idleTimeout) {
        finish(HttpFailure::IdleTimeout);
    }
}

void ClientConnection::finish(HttpFailure failure)
{
    m_tick.stop();
    m_call.reset();
    m_result.failure = failure;
    const bool reusable = failure == HttpFailure::None && m_parser->keepsAlive() && m_socket.state() == QAbstractSocket::ConnectedState;
    if (!reusable) {
        // A connection that timed out or lost step is never used again.
        m_socket.disconnect(this);
        m_socket.abort();
    }
    const HttpHooks hooks = std::exchange(m_hooks, {});
    const HttpResult result = std::exchange(m_result, {});
    m_onReleased(this, reusable);
    if (hooks.onDone) {
        hooks.onDone(result);
    }
}

} // namespace auburndrum::net
