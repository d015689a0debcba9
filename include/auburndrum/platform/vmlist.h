#pragma once

#include "auburndrum/platform/platformerror.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndrum::platform {

/// What a VM is for.
enum class VmRole {
    Entry,
    Backend,
    Store,
};

/// One VM as the platform lists it. The list lags.
struct Vm
{
    std::string name;
    std::string address; ///< "IP:PORT"
    std::string zone;
    std::string region;
    VmRole role = VmRole::Backend;
    std::string service; ///< of a backend server
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Reads the platform's list of VMs once. Entries that can't be read are left out.
void readVmList(net::HttpClient &http, const net::Address &platform, std::function<void(PlatformError error, const std::vector<Vm> &vms)> onDone);

} // namespace auburndrum::platform
