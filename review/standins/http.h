#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Blocking HTTP/1.1 over loopback TCP, for the stand-ins of the review.
namespace review {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

std::string toText(const Address &address);

/// A message with its header names in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string path() const; ///< without the query
    std::string query(const std::string &name) const;
    int status() const;
};

/// A connected socket and the bytes that were read ahead.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes) const;
    /// Reads one message. Nothing when the connection ended before it was complete.
    std::optional<Message> read();
    /// Reads a message without its body, such as the answer to a HEAD request.
    std::optional<Message> readHead();
    void setReadTimeout(int milliseconds) const;

private:
    bool fill();
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &bytes);
    bool readChunks(std::string &body);

    int m_descriptor;
    std::string m_buffer;
};

struct Answer
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answers a request; no answer closes the connection.
using Handler = std::function<std::optional<Answer>(const Message &)>;

/// Listens until close(), one thread per connection.
class Server
{
public:
    Server(const Address &address, Handler handler);
    /// Stops listening, so that new connections are refused, and resets those that are open.
    void close();

private:
    struct State;
    static void serve(Connection &connection, const Handler &handler, const State &state);

    int m_listener = -1;
    std::shared_ptr<State> m_state;
};

int connectTo(const Address &address);
/// A port that was free on that host a moment ago.
std::uint16_t freePort(const std::string &host);
std::string textOf(const Answer &answer);

} // namespace review
