#pragma once

#include <QByteArray>

#include <optional>
#include <vector>

#include <cstdint>

namespace auburndrum::net {

/// One event, or a comment between two, in a text of whole events.
struct EventSpan
{
    qsizetype end = 0; ///< where the next one begins
    std::optional<QByteArray> id; ///< value of its id field; empty when it has none
    bool isEvent = false; ///< false for comments and blank lines
};

/// The events in a text that EventSplitter returned. Lines may end with LF, CR LF or CR.
std::vector<EventSpan> eventsIn(QByteArrayView events);

/// Splits a stream of server-sent events at event boundaries, without parsing the events. Lines may end with LF, CR LF or CR.
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
    /// Number of buffered bytes of an incomplete event.
    qsizetype incompleteEventBytes() const
    {
        return m_buffer.size();
    }

private:
    enum class LineEnd {
        Lf,
        Cr,
        CrLf,
    };

    /// Handles the line from m_lineStart to `contentEnd`. Returns `end`, where the next line begins, when no event continues there, and 0 otherwise.
    qsizetype finishLine(qsizetype contentEnd, qsizetype end, LineEnd how);

    QByteArray m_buffer; ///< the incomplete event
    qsizetype m_scanned = 0; ///< bytes of m_buffer that were examined
    qsizetype m_lineStart = 0;
    std::uint32_t m_lines = 0; ///< lines of the incomplete event
    bool m_isDoneEvent = false; ///< whether the incomplete event is the final [DONE] so far
    bool m_endsWithCr = false; ///< the last examined byte is a CR, after which an LF may belong to the same line end
    LineEnd m_previousLineEnd = LineEnd::Lf;
    std::uint64_t m_events = 0;
    bool m_done = false;
};

} // namespace auburndrum::net
