#include "auburndrum/daemon/directorybuilder.h"

#include "auburndrum/decision/documentparser.h"

#include <variant>

namespace auburndrum::daemon {

void DirectoryBuilder::refresh(const std::string &document, const decision::DocumentState &state)
{
    if (state.body.empty()) {
        m_readable.erase(document);
        m_unreadable.erase(document);
        return;
    }
    const auto it = m_readable.find(document);
    if (it != m_readable.end() && it->second.version == state.version) {
        return;
    }
    auto parsed = decision::parseDocument(state.body);
    const bool isUsable = parsed.has_value() && decision::documentKey(decision::kindOf(parsed.value()), decision::nameOf(parsed.value())) == document;
    if (!isUsable) {
        m_unreadable[document] = it == m_readable.end() ? 0 : it->second.version;
        return;
    }
    m_unreadable.erase(document);
    m_readable[document] = {state.version, std::move(parsed.value())};
}

std::shared_ptr<const caller::Directory> DirectoryBuilder::build(const decision::ConfigFold &config)
{
    for (const auto &[document, state] : config.documents()) {
        refresh(document, state);
    }
    auto directory = std::make_shared<caller::Directory>();
    for (const auto &[document, readable] : m_readable) {
        std::visit(
            [&directory](const auto &it) {
                directory->add(it);
            },
            readable.document);
    }
    return directory;
}

} // namespace auburndrum::daemon
