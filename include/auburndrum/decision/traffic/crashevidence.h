#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// The end of one backend server's process under requests, as one or more entry VMs saw it.
struct CrashReport
{
    std::string server; ///< id of the incarnation
    Instant at{}; ///< when its first connection was reported as ended
    bool isRefuted = false; ///< the server responded to a later request: only connections had ended
    bool isConfirmed = false; ///< the server has refused a connection since
    std::map<std::string, Instant> lostMarks; ///< marks of the requests that were lost there, and when the last such request was sent
};

/// The newest whole response to a request with a mark, as one entry VM saw it.
struct MarkSuccess
{
    std::string mark;
    std::string vm; ///< the entry VM that received the response
    std::uint64_t number = 0; ///< rises with each response of that VM; tells a newer report from one that was received before
    Instant at{};
};

/// A mark whose requests are not sent to backend servers for a while.
struct CrashVerdict
{
    std::string mark;
    std::string id; ///< unique to this decision; a later one about the same mark has another id
    Instant decidedAt{};
    std::chrono::milliseconds hold{0}; ///< time from the decision until one request may be tried
    bool isLifted = false; ///< the mark was found to be sound after all
    std::vector<std::string> servers; ///< incarnations whose crashes the decision rests on
};

/// What one entry VM tells another about crashes. All times are on the receiver's clock that counts suspension.
struct CrashEvidence
{
    std::vector<CrashReport> crashes;
    std::vector<MarkSuccess> successes;
    std::vector<CrashVerdict> verdicts;

    bool isEmpty() const
    {
        return crashes.empty() && successes.empty() && verdicts.empty();
    }
};

} // namespace auburndrum::decision
