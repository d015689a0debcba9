#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/traffic/serverload.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Who saw a load report.
enum class LoadOrigin : std::uint8_t {
    Self, ///< this entry VM
    Zone, ///< another one of its availability zone
    Elsewhere,
};

/// A load report and how old it is.
struct SeenLoad
{
    std::string server;
    LoadReport report;
    std::chrono::milliseconds age{0};
};

/// @brief The newest load report of each backend server, whichever entry VM saw it, with numbers by which readers ask for news.
///
/// Not thread-safe.
class LoadBoard
{
public:
    /// @param maxAge reports that are older are neither taken nor told
    explicit LoadBoard(std::chrono::milliseconds maxAge = std::chrono::milliseconds(2000));

    /// Takes a report that was seen at `seenAt`. Whether it is newer than what was known.
    bool put(const std::string &server, const LoadReport &report, Instant seenAt, LoadOrigin origin, Instant now);
    /// Reports with numbers above `after` whose origin is not beyond `farthest`.
    std::vector<SeenLoad> since(std::uint64_t after, LoadOrigin farthest, Instant now) const;
    /// Number of the newest report.
    std::uint64_t newest() const
    {
        return m_newest;
    }
    /// Forgets reports that are too old to be told.
    void expire(Instant now);

private:
    struct Entry
    {
        LoadReport report;
        Instant seenAt{};
        LoadOrigin origin = LoadOrigin::Self;
        std::uint64_t number = 0;
    };

    std::chrono::milliseconds m_maxAge;
    std::map<std::string, Entry> m_entries; ///< by server
    std::uint64_t m_newest = 0;
};

} // namespace auburndrum::decision
