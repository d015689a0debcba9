#include "auburndrum/entry/timelinecollector.h"

#include <memory>
#include <utility>

namespace auburndrum::entry {

namespace {

constexpr const char *ReadMethod = "timeline.read";

/// A collection that still waits for peers.
struct PendingCollection
{
    TimelineCollection collection;
    std::size_t missingReports = 0;
    std::function<void(const TimelineCollection &)> done;
};

} // namespace

TimelineCollector::TimelineCollector(PeerClient &client, PeerServer &server, ReportProvider reportProvider)
    : m_client(client)
    , m_reportProvider(std::move(reportProvider))
{
    server.addMethod(ReadMethod, [this](const std::string &, const std::string &paramsJson) {
        return m_reportProvider ? rpcResult(m_reportProvider(paramsJson)) : rpcError(RpcRefused, "no timeline available");
    });
}

void TimelineCollector::collect(const std::vector<Peer> &peers, const std::string &filterJson, std::function<void(const TimelineCollection &)> done)
{
    const auto pending = std::make_shared<PendingCollection>();
    pending->missingReports = peers.size();
    pending->done = std::move(done);
    if (m_reportProvider) {
        pending->collection.reports.push_back(m_reportProvider(filterJson));
    }
    if (peers.empty()) {
        pending->done(pending->collection);
        return;
    }
    for (const Peer &peer : peers) {
        m_client.call({peer.name, peer.address, ReadMethod, filterJson}, [pending, name = peer.name](const EntryResult<std::string> &result) {
            if (result) {
                pending->collection.reports.push_back(result.value());
            } else {
                pending->collection.unreachable.push_back(name);
            }
            --pending->missingReports;
            if (pending->missingReports == 0) {
                pending->done(pending->collection);
            }
        });
    }
}

} // namespace auburndrum::entry
