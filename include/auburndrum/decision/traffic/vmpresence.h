#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of a VmPresence.
struct VmPresenceOptions
{
    std::string vm; ///< name of this entry VM
    std::chrono::milliseconds minSilence{1000}; ///< a VM that was heard this short a time before it gave no answer is only slow
    std::chrono::milliseconds reportLifetime{10000}; ///< older observations are not exchanged
    /// How long most of the VMs must have been silent until they count as gone: until then this VM may be the one that is cut off.
    std::chrono::milliseconds isolationTime{30000};
};

/// What is known of an entry VM that gave no answer lately.
struct VmSilence
{
    std::string vm;
    Instant silentAt{}; ///< when it last gave no answer to some VM
    Instant heardAt{}; ///< when some VM last heard from it
};

/// @brief Which entry VMs take part in what they share without a message, such as the limits of backend servers.
///
/// A VM is present until it gives no answer. While half of the VMs or more are silent, all count as present for a time, so that of two halves that lost each
/// other at most one takes over what belongs to the other. All times are on the clock that counts suspension. Not thread-safe.
class VmPresence
{
public:
    explicit VmPresence(VmPresenceOptions options);

    void onHeard(std::string_view vm, Instant now);
    void onSilent(std::string_view vm, Instant now);

    /// The VMs of this list that are present.
    std::vector<std::string> present(const std::vector<std::string> &known, Instant now) const;

    /// What the other entry VMs need to know.
    std::vector<VmSilence> silences(Instant now) const;
    void merge(const std::vector<VmSilence> &silences);

private:
    struct State
    {
        Instant heardAt{};
        Instant silentAt{};
        Instant silentSince{}; ///< first time without an answer after it was heard
    };

    bool isSilent(const State &it) const;
    void recordSilent(State &it, Instant at) const;

    VmPresenceOptions m_options;
    std::map<std::string, State, std::less<>> m_vms;
};

} // namespace auburndrum::decision
