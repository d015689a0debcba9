#pragma once

#include "auburndrum/net/address.h"

#include <QByteArray>
#include <QTcpSocket>

#include <nlohmann/json.hpp>

namespace auburndrum::tests {

/// A connection on which a test sends whatever bytes it likes.
class RawConnection
{
public:
    explicit RawConnection(const net::Address &peer);

    void send(const QByteArray &bytes);

    /// Waits for a whole answer or the close of the connection.
    bool waitForAnswer();

    /// Waits until the peer has closed.
    bool waitForClose();

    /// HTTP status of the first answer; 0 when there is none.
    int status() const;

    /// The "error" object of the answer's body; null when it has none.
    nlohmann::json error() const;

private:
    bool hasWholeAnswer() const;
    QByteArray body() const;

    QTcpSocket m_socket;
    QByteArray m_received;
};

} // namespace auburndrum::tests
