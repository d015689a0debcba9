#include "auburndrum/decision/configfold.h"

namespace auburndrum::decision {

bool ConfigFold::apply(Offset offset, WallTime at, const PublishRecord &record)
{
    // A publisher that lost the reply to its append may append the record again. Only the first copy takes effect.
    if (m_requests.contains(record.requestId)) {
        return false;
    }
    const Offset current = version(record.document);
    if (current != record.baseVersion || current >= offset) {
        recordOutcome(record.requestId, {PublishOutcome::Kind::Conflict, current}, at);
        return false;
    }
    m_documents[record.document] = {offset, record.body};
    recordOutcome(record.requestId, {PublishOutcome::Kind::Accepted, offset}, at);
    return true;
}

Offset ConfigFold::version(const std::string &document) const
{
    const auto it = m_documents.find(document);
    return it == m_documents.end() ? 0 : it->second.version;
}

std::optional<std::string> ConfigFold::body(const std::string &document) const
{
    const auto it = m_documents.find(document);
    if (it == m_documents.end() || it->second.body.empty()) {
        return std::nullopt;
    }
    return it->second.body;
}

PublishOutcome ConfigFold::publishOutcome(const std::string &requestId) const
{
    const auto it = m_requests.find(requestId);
    return it == m_requests.end() ? PublishOutcome{} : it->second.outcome;
}

const std::map<std::string, DocumentState> &ConfigFold::documents() const
{
    return m_documents;
}

void ConfigFold::expire(WallTime now)
{
    while (!m_requestOrder.empty()) {
        const auto it = m_requests.find(m_requestOrder.front());
        if (it->second.at + PublishOutcomeRetention > now) {
            return;
        }
        m_requests.erase(it);
        m_requestOrder.pop_front();
    }
}

void ConfigFold::saveTo(SnapshotRecord &snapshot) const
{
    for (const auto &[name, state] : m_documents) {
        snapshot.documents.push_back({name, state.version, state.body});
    }
    for (const std::string &id : m_requestOrder) {
        const PublishRequest &it = m_requests.at(id);
        snapshot.requests.push_back({id, it.outcome.version, it.outcome.kind == PublishOutcome::Kind::Accepted, it.at});
    }
}

void ConfigFold::loadFrom(const SnapshotRecord &snapshot)
{
    m_documents.clear();
    m_requests.clear();
    m_requestOrder.clear();
    for (const SnapshotDocument &it : snapshot.documents) {
        m_documents[it.document] = {it.version, it.body};
    }
    for (const SnapshotRequest &it : snapshot.requests) {
        const auto kind = it.accepted ? PublishOutcome::Kind::Accepted : PublishOutcome::Kind::Conflict;
        recordOutcome(it.requestId, {kind, it.version}, it.at);
    }
}

void ConfigFold::recordOutcome(const std::string &requestId, PublishOutcome outcome, WallTime at)
{
    const bool isNew = m_requests.try_emplace(requestId, PublishRequest{outcome, at}).second;
    if (isNew) {
        m_requestOrder.push_back(requestId);
    }
}

} // namespace auburndrum::decision
