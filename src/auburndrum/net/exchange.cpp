#include "auburndrum/net/exchange.h"

#include "responsehead.h"
#include "serverconnection.h"

#include <QUrlQuery>

namespace auburndrum::net {

Exchange::Exchange(Request request, std::weak_ptr<ServerConnection> connection)
    : m_request(std::move(request))
    , m_connection(std::move(connection))
{
}

Exchange::~Exchange() = default;

QByteArray Exchange::path() const
{
    const QByteArray &target = m_request.head.target;
    const auto end = target.indexOf('?');
    return end < 0 ? target : target.left(end);
}

QByteArray Exchange::query(const QByteArray &name) const
{
    return QUrlQuery(QString::fromUtf8(rawQuery())).queryItemValue(QString::fromUtf8(name), QUrl::FullyDecoded).toUtf8();
}

QByteArray Exchange::rawQuery() const
{
    const QByteArray &target = m_request.head.target;
    const auto end = target.indexOf('?');
    return end < 0 ? QByteArray() : target.mid(end + 1);
}

QByteArray Exchange::header(const QByteArray &name) const
{
    return headerValue(m_request.head.headers, name);
}

void Exchange::setOnBodyPart(std::function<void(const QByteArray &, bool)> hook)
{
    m_onBodyPart = std::move(hook);
}

void Exchange::setBodyPaused(bool paused)
{
    if (const auto it = m_connection.lock()) {
        it->setReadingPaused(paused);
    }
}

void Exchange::respond(int status, const std::vector<Header> &headers, const QByteArray &body)
{
    if (m_state != State::Waiting) {
        return;
    }
    if (const auto it = m_connection.lock()) {
        it->write(responseHead(status, it->withConnectionHeader(headers), body.size()));
        it->write(body); // apart, so that a large body isn't copied
    }
    complete();
}

void Exchange::respondJson(int status, const QByteArray &json, const std::vector<Header> &headers)
{
    std::vector<Header> all = headers;
    all.push_back({"Content-Type", "application/json"});
    respond(status, all, json);
}

void Exchange::startStream(int status, const std::vector<Header> &headers)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_state = State::Streaming;
    if (const auto it = m_connection.lock()) {
        it->write(responseHead(status, it->withConnectionHeader(headers), std::nullopt));
    }
}

void Exchange::writeChunk(const QByteArray &part)
{
    if (m_state != State::Streaming || part.isEmpty()) {
        return;
    }
    if (const auto it = m_connection.lock()) {
        it->write(QByteArray::number(part.size(), 16) + "\r\n" + part + "\r\n");
    }
}

void Exchange::finishStream()
{
    if (m_state != State::Streaming) {
        return;
    }
    if (const auto it = m_connection.lock()) {
        it->write("0\r\n\r\n");
    }
    complete();
}

void Exchange::breakOff()
{
    release();
    if (const auto it = m_connection.lock()) {
        it->closeOnceWritten();
    }
}

void Exchange::abort()
{
    release();
    if (const auto it = m_connection.lock()) {
        it->abort();
    }
}

bool Exchange::isOpen() const
{
    const auto it = m_connection.lock();
    return it && it->isOpen() && m_state != State::Done;
}

bool Exchange::hasCallerClosed() const
{
    const auto it = m_connection.lock();
    return !it || it->hasPeerClosed();
}

qint64 Exchange::unsentBytes() const
{
    const auto it = m_connection.lock();
    return it ? it->unsentBytes() : 0;
}

void Exchange::setOnCallerDisconnected(std::function<void()> hook)
{
    m_onCallerDisconnected = std::move(hook);
}

void Exchange::setOnBytesSent(std::function<void()> hook)
{
    m_onBytesSent = std::move(hook);
}

void Exchange::release()
{
    m_state = State::Done;
    m_onCallerDisconnected = {};
    m_onBodyPart = {};
    m_onBytesSent = {};
}

void Exchange::complete()
{
    release();
    if (const auto it = m_connection.lock()) {
        it->onExchangeCompleted(this);
    }
}

} // namespace auburndrum::net
