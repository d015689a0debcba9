#pragma once

#include "auburndrum/caller/directory.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/documentparser.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndrum::daemon {

/// @brief Reads the documents of the configuration fold into directories.
///
/// A document that this build can't read stays in force at the last version that it could.
class DirectoryBuilder
{
public:
    /// Reads the documents that changed since the last call.
    std::shared_ptr<const caller::Directory> build(const decision::ConfigFold &config);

    /// Documents whose newest version can't be read here, with the version that is in force instead (0: none).
    const std::map<std::string, decision::Offset> &heldBack() const
    {
        return m_heldBack;
    }

private:
    struct Readable
    {
        decision::Offset version = 0;
        decision::AnyDocument document;
    };

    void refresh(const std::string &document, const decision::DocumentState &state);

    std::map<std::string, Readable> m_readable;
    std::map<std::string, decision::Offset> m_heldBack;
};

} // namespace auburndrum::daemon
