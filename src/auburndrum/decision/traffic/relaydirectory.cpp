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
    KnownVm &known = m_vms[vm.name];
    if (known.vm == vm) {
        return false;
    }
    known = KnownVm{vm};
    return true;
}

std::string_view RelayDirectory::regionOf(std::string_view zone) const
{
    const auto it = m_options.regionOfZone.find(zone);
    return it == m_options.regionOfZone.end() ? zone : std::string_view(it->second);
}

bool RelayDirectory::exceedsReaderLimit(std::size_t maxReaders) const
{
    const auto self = m_vms.find(m_options.vm);
    if (self == m_vms.end()) {
        return false;
    }
    const std::string_view region = regionOf(self->second.vm.zone);
    const auto n = std::count_if(m_vms.begin(), m_vms.end(), [&](const auto &it) {
        return regionOf(it.second.vm.zone) == region;
    });
    return static_cast<std::size_t>(n) + m_options.reservedReaders > maxReaders;
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
    const EntryVm *best = &self->second.vm;
    for (const auto &[name, it] : m_vms) {
        if (it.vm.zone != self->second.vm.zone || now < it.backoffUntil) {
            continue;
        }
        if (isPreferred(it.vm, *best)) {
            best = &it.vm;
        }
    }
    return best == &self->second.vm ? std::nullopt : std::optional(*best);
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
