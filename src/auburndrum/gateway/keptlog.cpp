#include "auburndrum/gateway/keptlog.h"

namespace auburndrum::gateway {

namespace {

constexpr std::size_t MaxChanges = 4000; // half a megabyte at most; some seconds of a large fleet's changes

} // namespace

KeptLog::KeptLog(std::string name, const decision::StoredPrompts &kept)
    : m_name(std::move(name))
    , m_kept(kept)
{
}

void KeptLog::add(const std::string &address, const decision::PromptStoreUpdate &report)
{
    append({address, report});
}

void KeptLog::addLost(const std::string &address)
{
    append({address, std::nullopt});
}

void KeptLog::append(KeptNews news)
{
    m_changes += news.report ? news.report->changes.size() : 0;
    m_news.push_back(std::move(news));
    // Empty reports take room too.
    while (!m_news.empty() && (m_changes > MaxChanges || m_news.size() > MaxChanges)) {
        m_changes -= m_news.front().report ? m_news.front().report->changes.size() : 0;
        m_news.pop_front();
        ++m_first;
    }
}

KeptSlice KeptLog::everything() const
{
    KeptSlice slice{m_name, m_first + m_news.size(), {}};
    for (const std::string &it : m_kept.addresses()) {
        slice.news.push_back({it, m_kept.snapshot(it)});
    }
    return slice;
}

KeptSlice KeptLog::since(std::string_view log, std::uint64_t from) const
{
    const std::uint64_t end = m_first + m_news.size();
    if (log != m_name || from < m_first || from > end) {
        return everything();
    }
    KeptSlice slice{m_name, end, {}};
    slice.news.assign(m_news.begin() + static_cast<std::ptrdiff_t>(from - m_first), m_news.end());
    return slice;
}

} // namespace auburndrum::gateway
