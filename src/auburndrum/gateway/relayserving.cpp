#include "auburndrum/gateway/relaylink.h"

// What a relay does for others: its answers, and what it tells the relays of other zones.

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
    const auto origin = from.zone == m_options.self.zone ? decision::LoadOrigin::Zone : decision::LoadOrigin::Elsewhere;
    takeLoads(question.value().loads, origin, suspendAwareNow());
    if (question.value().isRelay) {
        return entry::rpcResult(toJson(RelayAnswer{}));
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
    // A number beyond the newest is of this VM's earlier process.
    const std::uint64_t after = question.value().loadsAfter > m_state.loads.newest() ? 0 : question.value().loadsAfter;
    answer.loads = m_state.loads.since(after, decision::LoadOrigin::Elsewhere, suspendAwareNow());
    answer.loadsNewest = m_state.loads.newest();
    return entry::rpcResult(toJson(answer));
}

void RelayLink::tellOtherZones()
{
    m_state.loads.expire(suspendAwareNow());
    RelayQuestion question;
    question.from = m_options.self;
    question.isRelay = true;
    question.loads = m_state.loads.since(m_loadsTold, decision::LoadOrigin::Zone, suspendAwareNow());
    m_loadsTold = m_state.loads.newest();
    if (question.loads.empty()) {
        return;
    }
    const std::string text = toJson(question);
    for (const EntryVm &relay : m_directory.otherRelays(suspendAwareNow())) {
        m_peers.call({relay.name, relay.address, RelayMethod, text}, [this, relay](const entry::EntryResult<std::string> &result) {
            if (result) {
                m_directory.answered(relay.name);
                return;
            }
            m_directory.failed(relay.name, suspendAwareNow());
            m_state.log.write(LineWeight::Notable, "peer_lost", {{"peer", relay.name}, {"address", relay.address}, {"error", entry::toText(result.error())}});
        });
    }
}

void RelayLink::takeLoads(const std::vector<decision::SeenLoad> &loads, decision::LoadOrigin origin, Instant sentAt)
{
    const Instant now = suspendAwareNow();
    for (const decision::SeenLoad &it : loads) {
        if (m_state.loads.put(it.server, it.report, sentAt - it.age, origin, now)) {
            m_state.chooser.reported(it.server, it.report, monotonicNow() - (now - sentAt) - it.age);
        }
    }
}

} // namespace auburndrum::gateway
