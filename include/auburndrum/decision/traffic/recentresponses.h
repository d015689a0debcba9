#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburndrum::decision {

/// @brief When requests with each mark last got a whole response. Bounded; what was not used for longest goes first.
class RecentResponses
{
public:
    explicit RecentResponses(std::size_t maxMarks = 16384);

    void record(const std::string &mark, Instant at);
    std::optional<Instant> find(const std::string &mark) const;

    /// Keeps a response that only the close of its connection ended, until confirm() or drop() for its server.
    void recordUnproven(const std::string &server, std::vector<std::string> marks, Instant at);
    /// The server is still there: its responses before `sentAt` were whole. Returns the time of the last of them, if there was one.
    std::optional<Instant> confirm(const std::string &server, Instant sentAt);
    /// The server has ended.
    void drop(const std::string &server);

private:
    struct Unproven
    {
        Instant at{};
        std::vector<std::string> marks;
    };

    std::size_t m_maxMarks;
    std::unordered_map<std::string, Instant> m_recent;
    std::unordered_map<std::string, Instant> m_older; ///< the generation before
    std::map<std::string, std::vector<Unproven>> m_unproven; ///< by server
};

} // namespace auburndrum::decision
