#pragma once

#include <QByteArray>

#include <cstdint>

namespace auburndrum::net {

/// Splits a stream of server-sent events at event boundaries, without parsing the events.
class EventSplitter
{
public:
    /// Appends bytes to the stream. Returns every event that is now complete, including its bytes buffered earlier; buffers the rest.
    QByteArray feed(const QByteArray &bytes);

    /// Number of complete events received so far, without the final [DONE].
    std::uint64_t events() const
    {
        return m_events;
    }
    /// Whether the final "data: [DONE]" event was received.
    bool isDone() const
    {
        return m_done;
    }
    /// Discards the buffered bytes of an incomplete event, before the stream is resumed.
    void discardIncompleteEvent();
    /// Returns and clears the buffered bytes of an incomplete event, for a stream that ended in order without a final blank line.
    QByteArray takeIncompleteEvent();
    /// Number of buffered bytes of an incomplete event.
    qsizetype incompleteEventBytes() const
    {
        return m_incompleteEvent.size();
    }

private:
    QByteArray m_incompleteEvent;
    std::uint64_t m_events = 0;
    bool m_done = false;
};

} // namespace auburndrum::net
