#include "rawconnection.h"

#include "wait.h"

#include <QRegularExpression>

namespace auburndrum::tests {

namespace {

const QByteArray HeadEnd = "\r\n\r\n";

} // namespace

RawConnection::RawConnection(const net::Address &peer)
{
    QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] {
        m_received += m_socket.readAll();
    });
    m_socket.connectToHost(peer.host, peer.port);
    waitUntil([this] {
        return m_socket.state() == QAbstractSocket::ConnectedState;
    });
}

void RawConnection::send(const QByteArray &bytes)
{
    m_socket.write(bytes);
    m_socket.flush();
}

bool RawConnection::waitForAnswer()
{
    return waitUntil([this] {
        return hasWholeAnswer() || m_socket.state() == QAbstractSocket::UnconnectedState;
    });
}

bool RawConnection::waitForClose()
{
    return waitUntil([this] {
        return m_socket.state() == QAbstractSocket::UnconnectedState;
    });
}

int RawConnection::status() const
{
    const QList<QByteArray> words = m_received.left(m_received.indexOf('\r')).split(' ');
    return words.size() < 2 ? 0 : words[1].toInt();
}

nlohmann::json RawConnection::error() const
{
    const nlohmann::json json = nlohmann::json::parse(body().toStdString(), nullptr, false);
    return json.is_object() ? json.value("error", nlohmann::json()) : nlohmann::json();
}

bool RawConnection::hasWholeAnswer() const
{
    static const QRegularExpression length("content-length: *(\\d+)", QRegularExpression::CaseInsensitiveOption);
    const auto headEnd = m_received.indexOf(HeadEnd);
    if (headEnd < 0) {
        return false;
    }
    const auto match = length.match(QString::fromLatin1(m_received.left(headEnd)));
    return match.hasMatch() && body().size() >= match.captured(1).toLongLong();
}

QByteArray RawConnection::body() const
{
    const auto headEnd = m_received.indexOf(HeadEnd);
    return headEnd < 0 ? QByteArray() : m_received.mid(headEnd + HeadEnd.size());
}

} // namespace auburndrum::tests
