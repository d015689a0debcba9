#include "auburndrum/net/eventsplitter.h"

namespace auburndrum::net {

namespace {

constexpr char EventEnd[] = "\n\n";
constexpr qsizetype EventEndBytes = 2;
constexpr char DoneEvent[] = "data: [DONE]";

} // namespace

QByteArray EventSplitter::feed(const QByteArray &bytes)
{
    if (m_done) {
        return {};
    }
    // The end of an event may be split between the buffered bytes and the new ones.
    qsizetype from = std::max<qsizetype>(0, m_partial.size() - 1);
    m_partial += bytes;
    qsizetype begin = 0;
    while (!m_done) {
        const qsizetype end = m_partial.indexOf(EventEnd, from);
        if (end < 0) {
            break;
        }
        if (QByteArrayView(m_partial).sliced(begin, end - begin) == QByteArrayView(DoneEvent)) {
            m_done = true;
        } else {
            ++m_events;
        }
        begin = end + EventEndBytes;
        from = begin;
    }
    if (begin == m_partial.size()) {
        return std::exchange(m_partial, {});
    }
    QByteArray complete = m_partial.left(begin);
    m_partial.remove(0, begin);
    return complete;
}

QByteArray EventSplitter::takePartial()
{
    return std::exchange(m_partial, {});
}

void EventSplitter::dropPartial()
{
    m_partial.clear();
}

} // namespace auburndrum::net
