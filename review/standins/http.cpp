#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr int Backlog = 256;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &it.sin_addr);
    return it;
}

int openSocket()
{
    const int it = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (it < 0) {
        throw std::runtime_error("no socket");
    }
    const int one = 1;
    setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return it;
}

} // namespace

struct Server::State
{
    std::mutex mutex;
    std::set<int> open;
    std::atomic<bool> isClosed{false};
};

void Server::serve(Connection &connection, const Handler &handler, const State &state)
{
    while (const auto request = connection.read()) {
        const auto answer = handler(*request);
        if (!answer || state.isClosed) {
            return;
        }
        const std::string text = textOf(*answer);
        const bool hasNoBody = request->method() == "HEAD"; // its length is that of the answer to GET
        if (!connection.send(hasNoBody ? text.substr(0, text.size() - answer->body.size()) : text)) {
            return;
        }
    }
}

std::string toText(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::path() const
{
    const auto begin = startLine.find(' ') + 1;
    const std::string target = startLine.substr(begin, startLine.find(' ', begin) - begin);
    return target.substr(0, target.find('?'));
}

std::string Message::query(const std::string &name) const
{
    const auto mark = startLine.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    const std::string text = "&" + startLine.substr(mark + 1, startLine.find(' ', mark) - mark - 1) + "&";
    const auto found = text.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
}

int Message::status() const
{
    const auto begin = startLine.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

bool Connection::send(const std::string &bytes) const
{
    for (std::size_t at = 0; at < bytes.size();) {
        const auto n = ::send(m_descriptor, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(n);
    }
    return true;
}

void Connection::setReadTimeout(int milliseconds) const
{
    const timeval time{milliseconds / 1000, (milliseconds % 1000) * 1000};
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::fill()
{
    std::string buf(ReadBytes, '\0');
    const auto n = ::recv(m_descriptor, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(buf, 0, static_cast<std::size_t>(n));
    return true;
}

bool Connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::size_t count, std::string &bytes)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            return false;
        }
    }
    bytes += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string &body)
{
    std::string line;
    while (readLine(line)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (!readBytes(size, body) || !readLine(line)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

std::optional<Message> Connection::readHead()
{
    Message it;
    if (!readLine(it.startLine)) {
        return std::nullopt;
    }
    std::string line;
    while (readLine(line) && !line.empty()) {
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        it.headers[name] = begin == std::string::npos ? std::string() : line.substr(begin);
    }
    return line.empty() ? std::optional(it) : std::nullopt;
}

std::optional<Message> Connection::read()
{
    const auto head = readHead();
    if (!head) {
        return std::nullopt;
    }
    Message it = *head;
    if (it.header("transfer-encoding") == "chunked") {
        return readChunks(it.body) ? std::optional(it) : std::nullopt;
    }
    const std::string length = it.header("content-length");
    if (!length.empty() && !readBytes(std::stoul(length), it.body)) {
        return std::nullopt;
    }
    return it;
}

Server::Server(const Address &address, Handler handler)
    : m_listener(openSocket())
    , m_state(std::make_shared<State>())
{
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in name = socketAddress(address);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0 || ::listen(m_listener, Backlog) != 0) {
        throw std::runtime_error("can't listen on " + toText(address));
    }
    std::thread([listener = m_listener, state = m_state, handler = std::move(handler)] {
        while (true) {
            const int it = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (it < 0) {
                return;
            }
            const int one = 1;
            setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([it, state, handler] {
                {
                    const std::lock_guard lock(state->mutex);
                    state->open.insert(it);
                }
                Connection connection(it);
                serve(connection, handler, *state);
                const std::lock_guard lock(state->mutex);
                state->open.erase(it);
            }).detach();
        }
    }).detach();
}

void Server::close()
{
    if (m_listener >= 0) {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
    }
    m_state->isClosed = true;
    const std::lock_guard lock(m_state->mutex);
    for (const int it : m_state->open) {
        const linger reset{1, 0};
        setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(it, SHUT_RD); // wakes its reader, which closes it
    }
}

int connectTo(const Address &address)
{
    const int it = openSocket();
    const sockaddr_in name = socketAddress(address);
    if (::connect(it, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        ::close(it);
        return -1;
    }
    return it;
}

std::uint16_t freePort(const std::string &host)
{
    const int it = openSocket();
    sockaddr_in name = socketAddress({host, 0});
    socklen_t size = sizeof(name);
    const bool isBound
        = ::bind(it, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0 && ::getsockname(it, reinterpret_cast<sockaddr *>(&name), &size) == 0;
    ::close(it);
    if (!isBound) {
        throw std::runtime_error("no free port on " + host);
    }
    return ntohs(name.sin_port);
}

std::string textOf(const Answer &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
    for (const auto &[name, value] : answer.headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

} // namespace review
