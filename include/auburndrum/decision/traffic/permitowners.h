#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// @brief Distributes numbered permits among the entry VMs by rendezvous hash, so that VMs which know the same VMs agree without a message.
class PermitOwners
{
public:
    /// @p vm is the name of this entry VM.
    explicit PermitOwners(std::string vm);

    /// The VMs that share the permits, this one included; while there are none, this VM owns no permit. Returns whether that changed anything.
    bool setVms(const std::vector<std::string> &vms);
    /// Whether permit `number` of `subject` is this VM's.
    bool isOwn(std::string_view subject, std::int64_t number) const;
    /// Of permits that become valid one each `interval` after `begin`, the first of this VM after `moment`; nothing when none is near.
    std::optional<Instant> nextOwn(std::string_view subject, Instant begin, std::chrono::nanoseconds interval, Instant moment) const;

private:
    std::string m_vm;
    std::uint64_t m_self;
    std::vector<std::uint64_t> m_others; ///< hashes of the other VMs' names
    bool m_isShared = false; ///< whether the VMs are known
};

} // namespace auburndrum::decision
