#include "auburndrum/decision/traffic/relaydirectory.h"

#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

std::uint64_t rank(std::string_view zone, std::string_view name)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(zone.data(), zone.size()));
}

} // namespace

RelayDirectory::RelayDirectory(RelayDirectoryOptions options)
    : m_options(std::move(options))
{
}

bool RelayDirectory::put(const EntryVm &vm)
{
    const auto [it, isNew] = m_vms.try_emplace(vm.name);
    if (!isNew && it->second.vm == vm) {
        return false;
    }
    if (!isNew) {
        unindex(it->second.vm);
    }
    it->second = KnownVm{vm};
    index(vm);
    return true;
}

void RelayDirectory::index(const EntryVm &vm)
{
    ++m_regionSizes[std::string(regionOf(vm.zone))];
    auto &zone = m_zones[vm.zone];
    const auto at = std::lower_bound(zone.begin(), zone.end(), vm, [this](const std::string &name, const EntryVm &other) {
        return isPreferred(m_vms.find(name)->second.vm, other);
    });
    zone.insert(at, vm.name);
}

void RelayDirectory::unindex(const EntryVm &vm)
{
    --m_regionSizes[std::string(regionOf(vm.zone))];
    std::erase(m_zones[vm.zone], vm.name);
}

std::string_view RelayDirectory::regionOf(std::string_view zone) const
{
    const auto it = m_options.regionOfZone.find(zone);
    return it == m_options.regionOfZone.end() ? zone : std::string_view(it->second);
}

bool RelayDirectory::needsRelay(std::size_t maxReaders) const
{
    const auto self = m_vms.find(m_options.vm);
    if (self == m_vms.end()) {
        return false;
    }
    const std::string &zone = self->second.vm.zone;
    return m_regionSizes.find(regionOf(zone))->second + m_options.reservedReaders > maxReaders
        || m_zones.find(zone)->second.size() >= m_options.crowdedZoneSize;
}

bool RelayDirectory::isPreferred(const EntryVm &a, const EntryVm &b) const
{
    if (a.linkMegabits != b.linkMegabits) {
        return a.linkMegabits > b.linkMegabits;
    }
    return rank(a.zone, a.name) > rank(b.zone, b.name);
}

std::optional<EntryVm> RelayDirectory::chooseRelay(Instant now) const
{
    const auto self = m_vms.find(m_options.vm);
    if (self == m_vms.end()) {
        return std::nullopt;
    }
    for (const std::string &name : m_zones.find(self->second.vm.zone)->second) {
        if (name == m_options.vm) {
            return std::nullopt;
        }
        const KnownVm &it = m_vms.find(name)->second;
        if (now >= it.backoffUntil) {
            return it.vm;
        }
    }
    return std::nullopt;
}

void RelayDirectory::recordFailure(std::string_view name, Instant now)
{
    const auto it = m_vms.find(name);
    if (it == m_vms.end() || name == m_options.vm) {
        return;
    }
    KnownVm &known = it->second;
    known.backoff = std::clamp(known.backoff * 2, m_options.minBackoff, m_options.maxBackoff);
    known.backoffUntil = now + known.backoff;
}

void RelayDirectory::recordSuccess(std::string_view name)
{
    const auto it = m_vms.find(name);
    if (it != m_vms.end()) {
        it->second.backoff = std::chrono::milliseconds(0);
    }
}

std::optional<EntryVm> RelayDirectory::find(std::string_view name) const
{
    const auto it = m_vms.find(name);
    return it == m_vms.end() ? std::nullopt : std::optional(it->second.vm);
}

std::vector<EntryVm> RelayDirectory::vms() const
{
    std::vector<EntryVm> list;
    for (const auto &[name, it] : m_vms) {
        list.push_back(it.vm);
    }
    return list;
}

std::size_t RelayDirectory::size() const
{
    return m_vms.size();
}

} // namespace auburndrum::decision
