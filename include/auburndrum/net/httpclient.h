#pragma once

#include "auburndrum/net/address.h"
#include "auburndrum/net/responseparser.h"

#include <QObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace auburndrum::net {

/// Why a call ended without a whole answer.
enum class HttpFailure {
    None, ///< the whole answer arrived
    ConnectFailed, ///< refused or unreachable; no byte was sent
    ConnectTimeout, ///< no connection in time; no byte was sent
    FirstByteTimeout, ///< sent, and no answer began in time
    IdleTimeout, ///< the answer went silent
    Closed, ///< the peer closed before the end of the answer
    Malformed, ///< the answer is not HTTP
    TooLarge, ///< the answer passed `maxBodyBytes`
    Cancelled, ///< cancel() was called
};

/// Short name of a failure for logs and errors.
const char *toText(HttpFailure failure);

/// One HTTP request and its limits.
struct HttpCall
{
    Address peer;
    QByteArray method = "GET";
    QByteArray target = "/";
    std::vector<Header> headers;
    QByteArray host; ///< value of the Host field; the peer's address when empty
    QByteArray body; ///< the whole body, or its beginning when `bodyFollows`
    bool bodyFollows = false; ///< the rest comes through HttpCallHandle::writeBody()
    std::optional<qint64> bodyLength; ///< of a body that follows; chunked when unknown
    bool freshConnection = false; ///< true: never on a kept-alive connection, so that a failed connect proves that nothing was sent
    qint64 maxBodyBytes = 64 * 1024 * 1024;
    std::chrono::milliseconds maxReuseAge{20000}; ///< a connection kept idle for longer is not used
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds firstByteTimeout{30000};
    std::chrono::milliseconds idleTimeout{30000};
};

/// How a call ended.
struct HttpResult
{
    HttpFailure failure = HttpFailure::None;
    bool sent = false; ///< true when a byte of the request may have reached the peer
    bool reused = false; ///< true when the connection had carried another call before
    HttpHead head;
    QByteArray body; ///< whole body when no onBody hook took it
};

/// What a caller of HttpClient wants to hear. All run on the client's thread.
struct HttpHooks
{
    std::function<bool(const HttpHead &)> isForCall; ///< optional; false for an answer to some other call, which is skipped
    std::function<void(const HttpHead &)> onHead; ///< optional
    std::function<void(const QByteArray &)> onBody; ///< optional; takes each part of the body, at most once per turn of the event loop
    std::function<void(const HttpResult &)> onDone; ///< exactly once
};

class ClientConnection;

/// A call under way. Dropping it does not cancel.
class HttpCallHandle
{
public:
    HttpCallHandle() = default;
    HttpCallHandle(std::weak_ptr<ClientConnection> connection, std::uint64_t callNumber);

    /// Ends the call with HttpFailure::Cancelled and closes its connection. Does nothing when it has ended.
    void cancel();
    /// Sends more of a body that follows; `last` ends it. Dropped when the call has ended.
    void writeBody(const QByteArray &part, bool last);
    /// Bytes of the request that the network has not taken yet.
    qint64 unsentBytes() const;
    /// Stops and resumes reading of the answer, so that a slow caller slows the peer.
    void setReadingPaused(bool paused);

private:
    std::weak_ptr<ClientConnection> m_connection;
    std::uint64_t m_callNumber = 0; // a kept-alive connection carries other calls later
};

/// HTTP/1.1 client on Qt's sockets and Boost.Beast's parser.
///
/// It never sends a request twice, reports whether bytes were sent, and never reuses a connection that timed out.
class HttpClient : public QObject
{
    Q_OBJECT

public:
    explicit HttpClient(QObject *parent = nullptr);
    ~HttpClient() override;

    /// Starts a call. `hooks.onDone` runs later, never inside this function.
    HttpCallHandle start(const HttpCall &call, HttpHooks hooks);
    /// Drops kept-alive connections to `peer`.
    void forget(const Address &peer);
    /// Connections made so far.
    std::uint64_t connectionsMade() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
