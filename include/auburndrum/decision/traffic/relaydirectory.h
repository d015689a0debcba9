#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// An entry VM's registration, as the other entry VMs read it.
struct EntryVm
{
    std::string name;
    std::string address; ///< IP:PORT for calls of other entry VMs
    std::string zone;
    double linkMegabits = 0; ///< bandwidth of its network link, Mbit/s

    bool operator==(const EntryVm &) const = default;
};

/// Options of a RelayDirectory.
struct RelayDirectoryOptions
{
    std::string vm; ///< name of this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    /// How long a relay that failed to respond is not polled; doubles with each consecutive failure. Longer than a process takes to restart.
    std::chrono::milliseconds minBackoff{4000};
    std::chrono::milliseconds maxBackoff{60000}; ///< limits how rarely a VM is polled; VMs that are gone stay in the directory
    std::size_t reservedReaders = 2; ///< of a prompt store's allowed readers, left free for VMs that join later or choose another relay
    /// With so many VMs in its zone, a VM uses a relay all the same: each reader's calls to the platform's store have a price.
    std::size_t crowdedZoneSize = 4;
};

/// @brief Chooses the entry VM that reads updates of the platform and the prompt stores for all others of its availability zone.
///
/// A zone's relay is the VM with the fastest link, ties broken by rendezvous hash, so that VMs agree without a message. A VM that finds
/// no relay reads for itself. Not thread-safe.
class RelayDirectory
{
public:
    explicit RelayDirectory(RelayDirectoryOptions options);

    /// Adds or replaces a VM, this one included. Returns whether anything changed.
    bool put(const EntryVm &vm);
    /// Whether this VM's region has too many VMs for each of them to read a prompt store that allows `maxReaders` readers, or its zone is crowded.
    bool needsRelay(std::size_t maxReaders) const;
    /// The VM to poll for updates; nothing when this VM reads for itself.
    std::optional<EntryVm> chooseRelay(Instant now) const;
    /// The relay sent no response, or an unusable one.
    void recordFailure(std::string_view name, Instant now);
    void recordSuccess(std::string_view name);
    std::size_t size() const;
    std::optional<EntryVm> find(std::string_view name) const;
    /// All known VMs, this one included.
    std::vector<EntryVm> vms() const;

private:
    struct KnownVm
    {
        EntryVm vm;
        std::chrono::milliseconds backoff{0};
        Instant backoffUntil{};
    };

    std::string_view regionOf(std::string_view zone) const;
    void index(const EntryVm &vm);
    void unindex(const EntryVm &vm);
    bool isPreferred(const EntryVm &a, const EntryVm &b) const;

    RelayDirectoryOptions m_options;
    std::map<std::string, KnownVm, std::less<>> m_vms; ///< by name
    std::map<std::string, std::size_t, std::less<>> m_regionSizes; ///< VMs by region
    /// VMs by zone, the preferred relay first, so that a choice doesn't look at each VM of the fleet.
    std::map<std::string, std::vector<std::string>, std::less<>> m_zones;
};

} // namespace auburndrum::decision
