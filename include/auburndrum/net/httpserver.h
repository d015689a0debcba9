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

/// A connection that the server closed while a request, or a part of one, lay on it without a response.
struct UnfinishedClose
{
    const char *reason = ""; ///< why it was closed
    qint64 unreadBytes = 0; ///< that had arrived and were not read
    qint64 partialBytes = 0; ///< that were read of a request that had not arrived completely
    qint64 unsentBytes = 0; ///< of responses
    std::optional<std::chrono::milliseconds> sinceLastReceived; ///< empty where the system doesn't tell
};

/// A connection that the server closed between two requests.
struct ConnectionClose
{
    const char *reason = ""; ///< why it was closed
    bool isAnnounced = false; ///< the last response told that the connection closes after it
    std::chrono::seconds announcedIdle{0}; ///< for which the last response told that the connection is kept; 0: it told nothing
    std::chrono::milliseconds idle{0}; ///< time since the operating system took the last byte of the last response, or since the accept
    int requests = 0; ///< served on the connection
    Address peer;
};

/// Limits of one server. Each is enforced before the memory is allocated.
struct HttpServerOptions
{
    qint64 maxHeaderBytes = 16 * 1024;
    qint64 maxBodyBytes = 8 * 1024 * 1024;
    int maxConnections = 4096;
    std::chrono::milliseconds requestTimeout{10000}; ///< time from the first byte of a request to its last, unless the body is streamed
    std::optional<std::chrono::milliseconds> bodyTimeout; ///< when set, requestTimeout covers only the header, and this limits the time of the body
    /// Closes a connection that has waited this long for a request or for more of a streamed body. Responses announce four fifths of it, in whole seconds
    /// (Keep-Alive); a connection whose last response announced more than that is kept for the time that goes with it.
    std::chrono::milliseconds idleTimeout{75000};
    /// Responses announce no longer time than this, so that a stop can keep what they announced.
    std::chrono::milliseconds maxAnnouncedIdle{std::chrono::milliseconds::max()};
    qint64 bodyStreamingThreshold = std::numeric_limits<qint64>::max(); ///< bytes; the handler receives a longer body in parts, before it is complete
    std::function<QByteArray(int status, const QByteArray &message)> errorBody; ///< returns the JSON body of a request error that the server itself reports
    std::function<void(const UnfinishedClose &)> onUnfinishedClose;
    std::function<void(const ConnectionClose &)> onClose;
};

/// HTTP/1.1 server that passes each request to one handler as an Exchange.
class HttpServer : public QObject
{
    Q_OBJECT

public:
    using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

    HttpServer(HttpServerOptions options, Handler handler, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Listens on `address` (port 0: any free port). Returns the address in use, with port 0 when listening failed.
    Address listenOn(const Address &address);
    /// Stops accepting connections, after those that have been established already; open connections continue. Returns the number of those accepted last.
    int stopListening();
    bool isListening() const;
    /// Replaces the limits; each connection applies them from its next request on, a longer idle timeout at once.
    void setOptions(HttpServerOptions options);
    const HttpServerOptions &options() const;
    /// From now on each response that begins carries "Connection: close", and the connection closes after it. A connection whose response has begun already
    /// serves one more request.
    void closeAfterAnswers();
    /// Closes the connections that have been without a request for `minIdle`, except where one has arrived unread.
    void closeIdleConnections(std::chrono::milliseconds minIdle = {});
    /// The same for those only that have rested for longer than their last response announced, too: their callers don't use them any more.
    void closeRestedConnections(std::chrono::milliseconds minIdle);
    /// Answers requests that were not read completely, and so not passed to the handler, with 503, and closes their connections.
    void refuseUnreadRequests();
    /// Passes to the operating system what it takes of the answers without waiting.
    void flush();
    int connectionCount() const;
    /// Whether a connection is open that was accepted before `time`.
    bool hasConnectionFromBefore(std::chrono::steady_clock::time_point time) const;
    /// Number of requests passed to the handler whose response is not complete yet.
    int openExchanges() const;
    /// Whether every response is complete and the operating system has accepted its last byte.
    bool isIdle() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace auburndrum::net
