#pragma once

#include "auburndrum/decision/logrecord.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::operators {

/// One version of a document that took effect.
struct PublishedVersion
{
    decision::Offset version = 0;
    WallTime publishedAt; ///< log time
    std::string author;
    std::string body; ///< empty when this version withdrew the document
};

/// Limits of the stored history.
struct PublishHistoryOptions
{
    std::size_t versionsPerDocument = 20;
    std::size_t maxBytes = 8U * 1024 * 1024; ///< bytes of the bodies of all documents; above it the oldest versions are dropped
};

/// Document versions that took effect while this process followed the log. Versions before its start, or before the
/// snapshot that it started from, are missing.
class PublishHistory
{
public:
    explicit PublishHistory(PublishHistoryOptions options = {});

    /// Adds a publish that changed its document. Must be called in log order.
    void add(decision::Offset offset, WallTime at, const decision::PublishRecord &record);

    /// Returns the stored versions of a document, oldest first.
    std::vector<PublishedVersion> versions(const std::string &document) const;

private:
    void dropOldest(const std::string &document);

    PublishHistoryOptions m_options;
    std::map<std::string, std::deque<PublishedVersion>, std::less<>> m_versions;
    std::deque<std::string> m_documentsByAge; ///< document of each stored version, oldest version first
    std::size_t m_bytes = 0;
};

} // namespace auburndrum::operators
