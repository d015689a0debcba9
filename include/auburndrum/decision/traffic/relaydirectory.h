#pragma once

#include "auburndrum/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// An entry VM as the others know it.
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
    std::string vm; ///< this entry VM
    std::map<std::string, std::string, std::less<>> regionOfZone;
    /// A relay that gave no answer is left alone for so long; doubles with each failure in a row. Longer than one restart of a process.
    std::chrono::milliseconds minBackoff{4000};
    std::chrono::milliseconds maxBackoff{60000}; ///< VMs that are gone stay in the directory
    std::size_t reservedReaders = 2; ///< of the readers that a prompt store allows, left for VMs that come later or disagree about the relay
};

/// @brief Which entry VM reads the platform's and the prompt stores' news for the others of its availability zone.
///
/// A zone's relay is the VM with the fastest link, ties broken by rendezvous hash, so that VMs agree without a message. Whoever finds
/// nobody to ask reads for itself. Not thread-safe.
class RelayDirectory
{
public:
    explicit RelayDirectory(RelayDirectoryOptions options);

    /// Adds or replaces a VM, this one included. Whether anything changed.
    bool put(const EntryVm &vm);
    /// Whether more VMs of this VM's region would follow a prompt store than the store allows.
    bool exceedsReaderLimit(std::size_t allowedReaders) const;
    /// Whom to ask now; nothing when this VM reads for itself.
    std::optional<EntryVm> chooseRelay(Instant now) const;
    /// It gave no answer, or none that can be used.
    void recordFailure(std::string_view name, Instant now);
    void recordSuccess(std::string_view name);
    std::size_t size() const;

private:
    struct KnownVm
    {
        EntryVm vm;
        std::chrono::milliseconds backoff{0};
        Instant backoffUntil{};
    };

    std::string_view regionOf(std::string_view zone) const;
    bool isPreferred(const EntryVm &a, const EntryVm &b) const;

    RelayDirectoryOptions m_options;
    std::map<std::string, KnownVm, std::less<>> m_vms; ///< by name
};

} // namespace auburndrum::decision
