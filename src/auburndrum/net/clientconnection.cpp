#include "clientconnection.h"

namespace auburndrum::net {

namespace {

constexpr std::size_t MaxIdentities = 1024; // of the calls that one connection carries; limits the memory for them
constexpr int MaxSkippedResponses = 16; // interim ones and those to other calls, while one call waits
constexpr qint64 MaxSkippedBytes = 1024 * 1024; // received for them
constexpr std::chrono::milliseconds UnacknowledgedTimeout{20000}; // a connection whose sent bytes stay unacknowledged this long is broken

QByteArray requestHead(const HttpCall &call)
{
    QByteArray buf;
    buf.reserve(512);
    buf += call.method + ' ' + call.target + " HTTP/1.1\r\n";
    buf += "Host: " + (call.host.isEmpty() ? QByteArray::fromStdString(toText(call.peer)) : call.host) + "\r\n";
    for (const Header &it : call.headers) {
        appendField(buf, it);
    }
    if (call.bodyFollows && !call.bodyLength) {
        buf += "Transfer-Encoding: chunked\r\n";
    } else if (call.bodyFollows) {
        buf += "Content-Length: " + QByteArray::number(*call.bodyLength) + "\r\n";
    } else if (!call.body.isEmpty() || call.method != "GET") {
        buf += "Content-Length: " + QByteArray::number(call.body.size()) + "\r\n";
    }
    buf += "\r\n";
    return buf;
}

QByteArray asChunk(const QByteArray &part)
{
    return QByteArray::number(part.size(), 16) + "\r\n" + part + "\r\n";
}

/// Parses "timeout=SECONDS" in the Keep-Alive field.
std::optional<std::chrono::milliseconds> keepAliveTimeout(const HttpHead &head)
{
    for (const QByteArray &it : head.header("Keep-Alive").split(',')) {
        const QByteArray item = it.trimmed();
        if (!item.startsWith("timeout=")) {
            continue;
        }
        bool ok = false;
        const int seconds = item.mid(8).toInt(&ok);
        if (ok && seconds >= 0) {
            return std::chrono::seconds(seconds);
        }
    }
    return std::nullopt;
}

} // namespace

ClientConnection::ClientConnection(const Address &peer, ReleasedHook onReleased)
    : m_peer(peer)
    , m_onReleased(std::move(onReleased))
    , m_socket({.onConnected =
                    [this] {
                        handleConnected();
                    },
                .onData =
                    [this](const QByteArray &bytes) {
                        handleData(bytes);
                    },
                .onWritten =
                    [this] {
                        if (m_call && m_hooks.onBytesSent) {
                            m_hooks.onBytesSent();
                        }
                    },
                .onEnd =
                    [this](TcpEnd how) {
                        handleEnd(how);
                    }})
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &ClientConnection::handleTimer);
    m_wholeTimer.setSingleShot(true);
    connect(&m_wholeTimer, &QTimer::timeout, this, [this] {
        finish(m_responseStarted ? HttpFailure::IdleTimeout : HttpFailure::FirstByteTimeout);
    });
}

ClientConnection::~ClientConnection()
{
    disable();
}

void ClientConnection::disable()
{
    m_socket.abort();
    m_onReleased = [](ClientConnection *, bool) {
    };
}

bool ClientConnection::isReusable() const
{
    return m_identities.size() < MaxIdentities && m_socket.isConnectedAndIdle();
}

bool ClientConnection::hasCarried(const QByteArray &identity) const
{
    return !identity.isEmpty() && m_identities.contains(qHash(identity));
}

std::uint64_t ClientConnection::start(const HttpCall &call, HttpHooks hooks)
{
    ++m_callNumber;
    m_call = call;
    if (!call.identity.isEmpty()) {
        m_identities.insert(qHash(call.identity));
    }
    m_hooks = std::move(hooks);
    m_result = {};
    m_unreportedBody.clear();
    m_bodyBytes = 0;
    m_responseStarted = false;
    m_isSilenceCertain = false;
    m_hasTrailingBytes = false;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    m_lastProgress = std::chrono::steady_clock::now();
    m_result.reused = m_connected;
    m_paused = false;
    m_isBodySent = !call.bodyFollows;
    makeParser();
    m_timer.start(currentTimeout());
    if (call.wholeTimeout) {
        m_wholeTimer.start(*call.wholeTimeout);
    }
    if (m_connected) {
        sendRequest();
        return m_callNumber;
    }
    m_socket.connectTo(m_peer, UnacknowledgedTimeout);
    return m_callNumber;
}

void ClientConnection::makeParser()
{
    m_skipsResponse = false;
    m_parser = std::make_unique<ResponseParser>(
        [this](const HttpHead &head) {
            handleHead(head);
        },
        [this](const char *data, std::size_t size) {
            if (!m_skipsResponse) {
                m_unreportedBody.append(data, static_cast<qsizetype>(size));
            }
        });
}

void ClientConnection::handleHead(const HttpHead &head)
{
    if (head.status < 200 || !m_call) {
        m_skipsResponse = true; // an interim response, or a hook has cancelled the call
        return;
    }
    if (m_hooks.isForCall && !m_hooks.isForCall(head)) {
        m_skipsResponse = true;
        return;
    }
    m_result.head = head;
    m_peerIdleTimeout = keepAliveTimeout(head);
    if (m_hooks.onHead) {
        m_hooks.onHead(head);
    }
}

void ClientConnection::writeBody(std::uint64_t callNumber, const QByteArray &part, bool last)
{
    if (!m_call || callNumber != m_callNumber) {
        return;
    }
    m_isBodySent = last;
    if (!m_connected) {
        m_call->body += part;
        m_call->bodyFollows = !last;
        if (last) {
            m_call->bodyLength.reset();
        }
        return;
    }
    if (m_call->bodyLength) {
        m_socket.write(part);
        return;
    }
    if (!part.isEmpty()) {
        m_socket.write(asChunk(part));
    }
    if (last) {
        m_socket.write("0\r\n\r\n");
    }
}

bool ClientConnection::isSent(std::uint64_t callNumber) const
{
    return m_call && callNumber == m_callNumber && m_result.sent;
}

qint64 ClientConnection::unsentBytes() const
{
    return m_socket.bytesToWrite();
}

qint64 ClientConnection::unacknowledgedBytes(std::uint64_t callNumber) const
{
    return m_call && callNumber == m_callNumber ? m_socket.unacknowledgedBytes() : 0;
}

void ClientConnection::setReadingPaused(std::uint64_t callNumber, bool paused)
{
    if (!m_call || callNumber != m_callNumber || m_paused == paused) {
        return;
    }
    m_paused = paused;
    m_socket.setReadingPaused(paused);
    m_lastProgress = std::chrono::steady_clock::now();
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
    if (!m_call) {
        return;
    }
    if (m_hooks.isWanted && !m_hooks.isWanted()) {
        finish(HttpFailure::Cancelled);
        return;
    }
    sendRequest();
}

void ClientConnection::sendRequest()
{
    m_result.sent = true;
    m_lastProgress = std::chrono::steady_clock::now();
    m_socket.write(requestHead(*m_call));
    if (!m_call->body.isEmpty()) {
        const bool isChunked = m_call->bodyFollows && !m_call->bodyLength;
        m_socket.write(isChunked ? asChunk(m_call->body) : m_call->body);
    }
}

void ClientConnection::handleData(const QByteArray &data)
{
    if (!m_call) {
        // Unsolicited bytes: a later response could no longer be matched to its request.
        m_socket.abort();
        m_onReleased(this, false);
        return;
    }
    QByteArray bytes = data;
    while (true) {
        if (!m_parser->feed(bytes)) {
            finish(HttpFailure::Malformed);
            return;
        }
        if (!m_call) {
            return; // a hook has cancelled the call
        }
        if (!m_skipsResponse || !m_parser->isDone()) {
            break;
        }
        if (++m_skippedResponses > MaxSkippedResponses) {
            finish(HttpFailure::TooLarge);
            return;
        }
        bytes = m_parser->takeUnparsedBytes();
        makeParser();
        if (bytes.isEmpty()) {
            return;
        }
    }
    if (m_skipsResponse) {
        m_skippedBytes += data.size();
        if (m_skippedBytes > MaxSkippedBytes) {
            finish(HttpFailure::TooLarge);
        }
        return; // no progress of this call, whose timeout goes on
    }
    m_lastProgress = std::chrono::steady_clock::now();
    m_responseStarted = true;
    flushBody();
    if (m_call && m_parser->isDone()) {
        m_hasTrailingBytes = !m_parser->takeUnparsedBytes().isEmpty();
        finish(HttpFailure::None);
    }
}

void ClientConnection::flushBody()
{
    if (m_unreportedBody.isEmpty()) {
        return;
    }
    m_bodyBytes += m_unreportedBody.size();
    if (m_bodyBytes > m_call->maxBodyBytes) {
        finish(HttpFailure::TooLarge);
        return;
    }
    if (!m_hooks.onBody) {
        m_result.body += m_unreportedBody;
        m_unreportedBody.clear();
        return;
    }
    const QByteArray part = std::exchange(m_unreportedBody, {});
    m_hooks.onBody(part);
}

void ClientConnection::handleEnd(TcpEnd how)
{
    if (!m_call) {
        m_onReleased(this, false);
        return;
    }
    if (how == TcpEnd::ConnectFailed) {
        finish(HttpFailure::ConnectFailed);
        return;
    }
    if (how == TcpEnd::Closed && m_responseStarted && !m_skipsResponse && m_parser->finishOnPeerClose()) {
        flushBody();
        if (m_call) {
            m_result.endedByClose = m_parser->endsWithConnection();
            finish(HttpFailure::None);
        }
        return;
    }
    finish(HttpFailure::Closed);
}

std::chrono::milliseconds ClientConnection::currentTimeout() const
{
    if (!m_connected) {
        return m_call->connectTimeout;
    }
    return m_responseStarted ? m_call->idleTimeout : m_call->firstByteTimeout;
}

void ClientConnection::handleTimer()
{
    if (!m_call) {
        return;
    }
    if (m_paused) {
        m_isSilenceCertain = false;
        m_timer.start(currentTimeout()); // the caller is slow, not the peer
        return;
    }
    const auto silence = std::chrono::floor<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_lastProgress);
    if (silence < currentTimeout()) {
        m_isSilenceCertain = false;
        m_timer.start(currentTimeout() - silence);
        return;
    }
    if (!std::exchange(m_isSilenceCertain, true)) {
        m_timer.start(std::chrono::milliseconds(0)); // what arrived while the event loop was busy is handled first
        return;
    }
    if (!m_connected) {
        finish(HttpFailure::ConnectTimeout);
        return;
    }
    finish(m_responseStarted ? HttpFailure::IdleTimeout : HttpFailure::FirstByteTimeout);
}

void ClientConnection::finish(HttpFailure failure)
{
    m_timer.stop();
    m_wholeTimer.stop();
    m_call.reset();
    m_result.failure = failure;
    if (m_paused) {
        m_paused = false;
        m_socket.setReadingPaused(false);
    }
    const bool reusable = failure == HttpFailure::None && m_isBodySent && !m_hasTrailingBytes && m_parser->keepsAlive() && m_socket.isConnected();
    if (!reusable) {
        // A connection is never reused after a failure or when bytes followed the response.
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
