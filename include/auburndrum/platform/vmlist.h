#pragma once

#include "auburndrum/platform/platformerror.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndrum::platform {

/// Role of a VM in the deployment.
enum class VmRole {
    Entry,
    Backend,
    Store,
};

/// One VM in the platform's list. The list lags behind the actual state.
struct Vm
{
    std::string name;
    std::string address; ///< "IP:PORT"
    std::string zone;
    std::string region;
    VmRole role = VmRole::Backend;
    std::string service; ///< service that a backend server belongs to; empty for other roles
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Reads the platform's list of VMs once. Malformed entries are skipped.
void readVmList(net::HttpClient &http, const net::Address &platform, std::function<void(PlatformError error, const std::vector<Vm> &vms)> onDone);

} // namespace auburndrum::platform
