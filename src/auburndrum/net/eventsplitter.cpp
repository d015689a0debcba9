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
    qsizetype from = std::max<qsizetype>(0, m_incompleteEvent.size() - 1);
    m_incompleteEvent += bytes;
    qsizetype begin = 0;
    while (!m_done) {
        const qsizetype end = m_incompleteEvent.indexOf(EventEnd, from);
        if (end < 0) {
            break;
        }
        if (QByteArrayView(m_incompleteEvent).sliced(begin, end - begin) == QByteArrayView(DoneEvent)) {
            m_done = true;
        } else {
            ++m_events;
        }
        begin = end + EventEndBytes;
        from = begin;
    }
    if (begin == m_incompleteEvent.size()) {
        return std::exchange(m_incompleteEvent, {});
    }
    QByteArray complete = m_incompleteEvent.left(begin);
    m_incompleteEvent.remove(0, begin);
    return complete;
}

QByteArray EventSplitter::takeIncompleteEvent()
{
    return std::exchange(m_incompleteEvent, {});
}

void EventSplitter::discardIncompleteEvent()
{
    m_incompleteEvent.clear();
}

} // namespace auburndrum::net
