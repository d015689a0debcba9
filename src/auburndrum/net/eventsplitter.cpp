#include "auburndrum/net/eventsplitter.h"

#include <algorithm>

namespace auburndrum::net {

namespace {

constexpr char DoneLine[] = "data: [DONE]";

} // namespace

std::vector<EventSpan> eventsIn(QByteArrayView events)
{
    constexpr QByteArrayView IdField = "id:";
    std::vector<EventSpan> spans;
    EventSpan span;
    for (qsizetype begin = 0; begin < events.size();) {
        qsizetype end = begin;
        while (end < events.size() && events[end] != '\n' && events[end] != '\r') {
            ++end;
        }
        const QByteArrayView line = events.sliced(begin, end - begin);
        const bool isCrLf = end + 1 < events.size() && events[end] == '\r' && events[end + 1] == '\n';
        begin = std::min(events.size(), end + (isCrLf ? 2 : 1));
        span.end = begin;
        if (line.isEmpty()) {
            spans.push_back(std::exchange(span, {}));
            continue;
        }
        span.isEvent = span.isEvent || !line.startsWith(':');
        if (line.startsWith(IdField)) {
            span.id = line.sliced(IdField.size()).trimmed().toByteArray();
        }
    }
    return spans;
}

QByteArray EventSplitter::feed(const QByteArray &bytes)
{
    if (m_done) {
        return {};
    }
    m_buffer += bytes;
    qsizetype boundary = 0;
    for (; m_scanned < m_buffer.size() && !m_done; ++m_scanned) {
        const char c = m_buffer[m_scanned];
        if (std::exchange(m_endsWithCr, false)) {
            if (c == '\n') {
                boundary = std::max(boundary, finishLine(m_scanned - 1, m_scanned + 1, LineEnd::CrLf));
                continue;
            }
            boundary = std::max(boundary, finishLine(m_scanned - 1, m_scanned, LineEnd::Cr));
        }
        if (c == '\n') {
            boundary = std::max(boundary, finishLine(m_scanned, m_scanned + 1, LineEnd::Lf));
        }
        m_endsWithCr = c == '\r';
    }
    // Where lines end with CR alone, no LF will follow that would have to be awaited.
    if (m_endsWithCr && !m_done && m_lineStart == m_scanned - 1 && m_previousLineEnd == LineEnd::Cr) {
        m_endsWithCr = false;
        boundary = std::max(boundary, finishLine(m_scanned - 1, m_scanned, LineEnd::Cr));
    }
    QByteArray complete = m_buffer.left(boundary);
    if (m_done) {
        discardIncompleteEvent(); // nothing follows the final event
        return complete;
    }
    m_buffer.remove(0, boundary);
    m_scanned -= boundary;
    m_lineStart -= boundary;
    return complete;
}

qsizetype EventSplitter::finishLine(qsizetype contentEnd, qsizetype end, LineEnd how)
{
    const QByteArrayView line = QByteArrayView(m_buffer).sliced(m_lineStart, contentEnd - m_lineStart);
    m_lineStart = end;
    m_previousLineEnd = how;
    if (line.isEmpty()) {
        m_done = m_isDoneEvent;
        m_events += m_lines > 0 && !m_done ? 1 : 0;
        m_lines = 0;
        m_isDoneEvent = false;
        return end;
    }
    if (m_lines == 0 && line.startsWith(':')) {
        return end; // a comment between events
    }
    ++m_lines;
    m_isDoneEvent = m_lines == 1 && line == QByteArrayView(DoneLine);
    return 0;
}

void EventSplitter::discardIncompleteEvent()
{
    m_buffer.clear();
    m_scanned = 0;
    m_lineStart = 0;
    m_lines = 0;
    m_isDoneEvent = false;
    m_endsWithCr = false;
    m_previousLineEnd = LineEnd::Lf;
}

} // namespace auburndrum::net
