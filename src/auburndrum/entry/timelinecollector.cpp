#include "auburndrum/entry/timelinecollector.h"

#include <memory>
#include <utility>

namespace auburndrum::entry {

namespace {

constexpr const char *Method = "timeline.read";

/// A collection that still waits for peers.
struct Collecting
{
    TimelineCollection collection;
    std::size_t waiting = 0;
    std::function<void(const TimelineCollection &)> done;
};

} // namespace

TimelineCollector::TimelineCollector(PeerClient &client, PeerServer &server, Report report)
    : m_client(client)
    , m_report(std::move(report))
{
    server.addMethod(Method, [this](const std::string &, const std::string &paramsJson) {
        return m_report ? rpcResult(m_report(paramsJson)) : rpcError(RpcRefused, "no timeline available");
    });
}

void TimelineCollector::collect(const std::vector<Peer> &peers, const std::string &filterJson, std::function<void(const TimelineCollection &)> done)
{
    const auto collecting = std::make_shared<Collecting>();
    collecting->waiting = peers.size();
    collecting->done = std::move(done);
    if (m_report) {
        collecting->collection.reports.push_back(m_report(filterJson));
    }
    if (peers.empty()) {
        collecting->done(collecting->collection);
        return;
    }
    for (const Peer &peer : peers) {
        m_client.call({peer.name, peer.address, Method, filterJson}, [collecting, name = peer.name](const EntryResult<std::string> &result) {
            if (result) {
                collecting->collection.reports.push_back(result.value());
            } else {
                collecting->collection.unreachable.push_back(name);
            }
            --collecting->waiting;
            if (collecting->waiting == 0) {
                collecting->done(collecting->collection);
            }
        });
    }
}

} // namespace auburndrum::entry
