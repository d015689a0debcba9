#include "auburndrum/operator/publishhistory.h"

#include <algorithm>

namespace auburndrum::operators {

PublishHistory::PublishHistory(PublishHistoryOptions options)
    : m_options(options)
{
}

void PublishHistory::add(decision::Offset offset, WallTime at, const decision::PublishRecord &record)
{
    const auto it = m_versions.find(record.document);
    if (it != m_versions.end() && it->second.size() >= m_options.versionsPerDocument) {
        dropOldest(record.document);
    }
    m_versions[record.document].push_back({offset, at, record.author, record.body});
    m_documentsByAge.push_back(record.document);
    m_bytes += record.body.size();
    while (m_bytes > m_options.maxBytes && m_documentsByAge.size() > 1) {
        dropOldest(m_documentsByAge.front());
    }
}

void PublishHistory::dropOldest(const std::string &document)
{
    const auto it = m_versions.find(document);
    m_bytes -= it->second.front().body.size();
    it->second.pop_front();
    if (it->second.empty()) {
        m_versions.erase(it);
    }
    // Last, because the argument may refer to the element that is erased.
    m_documentsByAge.erase(std::find(m_documentsByAge.begin(), m_documentsByAge.end(), document));
}

std::vector<PublishedVersion> PublishHistory::versions(const std::string &document) const
{
    const auto it = m_versions.find(document);
    if (it == m_versions.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

} // namespace auburndrum::operators
