#pragma once

#include <QByteArray>

#include <cstdint>

namespace auburndrum::net {

/// Cuts a stream of server-sent events into whole events, without reading what is in them.
class EventSplitter
{
public:
    /// Takes bytes; returns those that complete events, with what was held back before.
    QByteArray feed(const QByteArray &bytes);

    /// Whole events seen so far, the closing [DONE] left out.
    std::uint64_t events() const
    {
        return m_events;
    }
    /// Whether the closing "data: [DONE]" was seen.
    bool isDone() const
    {
        return m_done;
    }
    /// Drops an event that is only partly there, before the stream is resumed.
    void dropPartial();
    /// Hands out the event that is only partly there, when the stream ended whole behind it.
    QByteArray takePartial();
    /// Bytes of an event that is only partly there.
    qsizetype partialBytes() const
    {
        return m_partial.size();
    }

private:
    QByteArray m_partial;
    std::uint64_t m_events = 0;
    bool m_done = false;
};

} // namespace auburndrum::net
