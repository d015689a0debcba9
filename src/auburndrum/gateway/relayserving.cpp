#include "auburndrum/gateway/relaylink.h"

// The relay's side of RelayLink: responses to polls of other VMs.

namespace auburndrum::gateway {

using decision::EntryVm;

void RelayLink::addMethod(const std::string &name, std::function<entry::RpcResult(const std::string &)> handler)
{
    m_peerServer.addMethod(name, [handler = std::move(handler)](const std::string & /*peer*/, const std::string &request) {
        return handler(request);
    });
}

void RelayLink::setRequestOptions(net::HttpServerOptions options)
{
    options.maxBodyBytes = std::max(options.maxBodyBytes, m_server.options().maxBodyBytes);
    m_server.setOptions(std::move(options));
}

void RelayLink::addVm(const EntryVm &vm)
{
    if (vm.name == m_options.self.name || !m_directory.put(vm)) {
        return;
    }
    if (m_isDirectoryKnown) {
        m_state.log.write(LinePriority::Notable, "entry_vm", {{"peer", vm.name}, {"address", vm.address}, {"zone", vm.zone}});
        updateMode();
    }
}

void RelayLink::stop()
{
    m_isStopped = true;
}

entry::RpcResult RelayLink::handlePoll(const std::string &text)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::RelayServing);
    if (m_isStopped) {
        return entry::rpcError(entry::RpcRefused, "stopping");
    }
    const auto request = relayRequestFrom(text);
    if (!request) {
        m_state.log.write(LinePriority::Notable, "relay_question_skipped", {{"problem", request.error()}});
        return entry::rpcError(entry::RpcInvalidParams, request.error());
    }
    addVm(request.value().from);
    // The polling VM knows more VMs, or lost a relay that may still answer this one.
    m_askedAt = suspendAwareNow();
    setRelay({}, "polled by another entry VM");
    setFollowsStores(true);
    RelayResponse response;
    response.followsStores = m_followsStores;
    if (!m_followsStores) {
        return entry::rpcResult(toJson(response));
    }
    for (const auto &[topic, offset] : request.value().topics) {
        if (auto batch = m_topicCache.readFrom(topic, offset, suspendAwareNow())) {
            response.topics[topic] = std::move(*batch);
        }
    }
    response.promptStoreLog = m_promptStoreLog.readFrom(request.value().promptStoreLogName, request.value().promptStoreLogFrom);
    return entry::rpcResult(toJson(response));
}

} // namespace auburndrum::gateway
