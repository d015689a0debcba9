#include "auburndrum/gateway/relaylink.h"

// What a relay does for the VMs that ask it.

namespace auburndrum::gateway {

using decision::EntryVm;

entry::RpcResult RelayLink::answer(const std::string &text)
{
    if (m_stopped) {
        return entry::rpcError(entry::RpcRefused, "stopping");
    }
    const auto question = relayQuestionFrom(text);
    if (!question) {
        m_state.log.write(LineWeight::Notable, "relay_question_skipped", {{"problem", question.error()}});
        return entry::rpcError(entry::RpcInvalidParams, question.error());
    }
    const EntryVm &from = question.value().from;
    if (from.name != m_options.self.name && m_directory.put(from)) {
        m_state.log.write(LineWeight::Notable, "entry_vm", {{"peer", from.name}, {"address", from.address}, {"zone", from.zone}});
        update();
    }
    if (m_relay.empty()) {
        setFollowsStores(true); // whoever asks knows more VMs, or lost a relay that this one has not tried
    }
    RelayAnswer answer;
    answer.followsStores = m_followsStores;
    if (!m_followsStores) {
        return entry::rpcResult(toJson(answer));
    }
    for (const auto &[topic, offset] : question.value().topics) {
        if (auto batch = m_topics.since(topic, offset, suspendAwareNow())) {
            answer.topics[topic] = std::move(*batch);
        }
    }
    answer.kept = m_keptLog.since(question.value().keptLog, question.value().keptFrom);
    return entry::rpcResult(toJson(answer));
}

} // namespace auburndrum::gateway
