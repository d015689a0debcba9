#pragma once

#include "auburndrum/caller/directory.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/documentparser.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndrum::daemon {

/// @brief Builds directories from the documents of the configuration fold.
///
/// When this build can't read a document's newest version, the last readable version stays in force.
class DirectoryBuilder
{
public:
    /// Parses the documents that changed since the last call and builds a directory of all readable ones.
    std::shared_ptr<const caller::Directory> build(const decision::ConfigFold &config);

    /// Documents whose newest version this build can't read, each with the version in force instead (0: none).
    const std::map<std::string, decision::Offset> &unreadableDocuments() const
    {
        return m_unreadable;
    }

private:
    struct ReadableDocument
    {
        decision::Offset version = 0;
        decision::AnyDocument document;
    };

    void refresh(const std::string &document, const decision::DocumentState &state);

    std::map<std::string, ReadableDocument> m_readable;
    std::map<std::string, decision::Offset> m_unreadable;
};

} // namespace auburndrum::daemon
