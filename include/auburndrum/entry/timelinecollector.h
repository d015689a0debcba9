#pragma once

#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"

#include <functional>
#include <string>
#include <vector>

namespace auburndrum::entry {

/// The timelines of all processes that responded.
struct TimelineCollection
{
    std::vector<std::string> reports; ///< one JSON object for each process
    std::vector<std::string> unreachable; ///< names of the peers whose call failed
};

/// Collects the timelines of all entry VMs. Lives on the event loop's thread.
class TimelineCollector
{
public:
    /// A peer to collect from.
    struct Peer
    {
        std::string name;
        std::string address;
    };
    /// Returns this process's report for a filter, both as JSON text.
    using ReportProvider = std::function<std::string(const std::string &filterJson)>;

    TimelineCollector(PeerClient &client, PeerServer &server, ReportProvider reportProvider);

    /// Requests the timelines of @p peers and adds this process's own. @p done runs once, when all have responded or failed.
    void collect(const std::vector<Peer> &peers, const std::string &filterJson, std::function<void(const TimelineCollection &)> done);

private:
    PeerClient &m_client;
    ReportProvider m_reportProvider;
};

} // namespace auburndrum::entry
