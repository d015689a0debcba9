#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// One VM as the platform describes it; the words are those of docs/PEERS.md.
struct VmRecord
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    std::string role;
    std::string service;
    std::uint64_t incarnation = 0;
    std::string state;
};

/// The platform's list of VMs. A change shows only after the lag.
class VmList
{
public:
    explicit VmList(std::chrono::milliseconds lag);

    void put(const VmRecord &vm, Instant now);
    void remove(const std::string &name, Instant now);

    /// Returns the list as it was one lag before now.
    std::vector<VmRecord> visible(Instant now);

private:
    struct Change
    {
        Instant shownAt;
        std::string name;
        std::optional<VmRecord> vm; ///< nothing: removed
    };

    void applyUntil(Instant now);

    std::chrono::milliseconds m_lag;
    std::deque<Change> m_changes;
    std::map<std::string, VmRecord> m_shown;
};

} // namespace auburndrum::standins
