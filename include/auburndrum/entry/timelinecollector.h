#pragma once

#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"

#include <functional>
#include <string>
#include <vector>

namespace auburndrum::entry {

/// The time lines of all processes that answered.
struct TimelineCollection
{
    std::vector<std::string> reports; ///< one JSON object a process
    std::vector<std::string> unreachable; ///< names of the peers that didn't answer
};

/// Collects the time lines of all entry VMs. Lives on the event loop's thread.
class TimelineCollector
{
public:
    /// One peer to ask.
    struct Peer
    {
        std::string name;
        std::string address;
    };
    /// Returns this process's report for a filter, both as JSON text.
    using Report = std::function<std::string(const std::string &filterJson)>;

    TimelineCollector(PeerClient &client, PeerServer &server, Report report);

    /// Asks @p peers. @p done runs once all have answered or failed.
    void collect(const std::vector<Peer> &peers, const std::string &filterJson, std::function<void(const TimelineCollection &)> done);

private:
    PeerClient &m_client;
    Report m_report;
};

} // namespace auburndrum::entry
