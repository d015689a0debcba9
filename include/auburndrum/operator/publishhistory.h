#pragma once

#include "auburndrum/decision/logrecord.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::operators {

/// One version of a document that came into force.
struct PublishedVersion
{
    decision::Offset version = 0;
    WallTime at; ///< log time
    std::string author;
    std::string body; ///< empty: withdrawn
};

/// How much history is kept.
struct PublishHistoryOptions
{
    std::size_t versionsPerDocument = 20;
    std::size_t maxBytes = 8U * 1024 * 1024; ///< of bodies, over all documents; the oldest give way
};

/// Versions that came into force while this process followed the log. Versions before its start, or before the
/// snapshot that it started from, are not known to it.
class PublishHistory
{
public:
    explicit PublishHistory(PublishHistoryOptions options = {});

    /// Adds a publish that changed its document. To be called in log order.
    void add(decision::Offset offset, WallTime at, const decision::PublishRecord &record);

    /// Kept versions of a document, oldest first.
    std::vector<PublishedVersion> versions(const std::string &document) const;

private:
    void dropOldest(const std::string &document);

    PublishHistoryOptions m_options;
    std::map<std::string, std::deque<PublishedVersion>, std::less<>> m_versions;
    std::deque<std::string> m_order; ///< document of each kept version, oldest first
    std::size_t m_bytes = 0;
};

} // namespace auburndrum::operators
