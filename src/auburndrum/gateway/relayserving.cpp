#include "auburndrum/gateway/relaylink.h"

// The relay's side of RelayLink: responses to polls of other VMs.

namespace auburndrum::gateway {

using decision::EntryVm;

entry::RpcResult RelayLink::handlePoll(const std::string &text)
{
    if (m_isStopped) {
        return entry::rpcError(entry::RpcRefused, "stopping");
    }
    const auto question = relayRequestFrom(text);
    if (!question) {
        m_state.log.write(LineWeight::Notable, "relay_question_skipped", {{"problem", question.error()}});
        return entry::rpcError(entry::RpcInvalidParams, question.error());
    }
    const EntryVm &from = question.value().from;
    if (from.name != m_options.self.name && m_directory.put(from)) {
        m_state.log.write(LineWeight::Notable, "entry_vm", {{"peer", from.name}, {"address", from.address}, {"zone", from.zone}});
        updateMode();
    }
    if (m_relay.empty()) {
        setFollowsStores(true); // the polling VM knows more VMs, or lost a relay that this one has not tried
    }
    RelayResponse answer;
    answer.followsStores = m_followsStores;
    if (!m_followsStores) {
        return entry::rpcResult(toJson(answer));
    }
    for (const auto &[topic, offset] : question.value().topics) {
        if (auto batch = m_topicCache.readFrom(topic, offset, suspendAwareNow())) {
            answer.topics[topic] = std::move(*batch);
        }
    }
    answer.promptStoreLog = m_promptStoreLog.readFrom(question.value().promptStoreLogName, question.value().promptStoreLogFrom);
    return entry::rpcResult(toJson(answer));
}

} // namespace auburndrum::gateway
