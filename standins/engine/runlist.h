#pragma once

#include "auburndrum/base/time.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace auburndrum::standins {

/// One prompt that the engine took.
struct RunEntry
{
    std::string attempt;
    std::string organisation;
    std::string promptHash;
    std::string version;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    WallTime takenAt;
    bool cancelled = false;
};

/// The latest prompts that the engine took, for judging.
class RunList
{
public:
    void add(const RunEntry &entry);
    void addRefused();
    void setCached(const std::string &attempt, std::uint64_t tokens);
    void setCancelled(const std::string &attempt);
    nlohmann::json toJson() const;

private:
    static constexpr std::size_t KeptRuns = 10'000;

    RunEntry *find(const std::string &attempt);

    std::deque<RunEntry> m_runs;
    std::uint64_t m_taken = 0;
    std::uint64_t m_refused = 0;
};

} // namespace auburndrum::standins
