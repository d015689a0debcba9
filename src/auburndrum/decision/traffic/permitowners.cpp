#include "auburndrum/decision/traffic/permitowners.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace auburndrum::decision {

namespace {

constexpr std::int64_t SoughtPermitsPerVm = 16; // a VM without a permit among so many for each VM is next to impossible

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t mix(std::uint64_t vm, std::uint64_t permit)
{
    const std::array<std::uint64_t, 2> both = {vm, permit};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace

PermitOwners::PermitOwners(std::string vm)
    : m_vm(std::move(vm))
    , m_self(hashOf(m_vm))
{
}

bool PermitOwners::setVms(const std::vector<std::string> &vms)
{
    std::vector<std::uint64_t> others;
    for (const std::string &it : vms) {
        if (it != m_vm) {
            others.push_back(hashOf(it));
        }
    }
    std::sort(others.begin(), others.end());
    if (m_isShared == !vms.empty() && others == m_others) {
        return false;
    }
    m_isShared = !vms.empty();
    m_others = std::move(others);
    return true;
}

bool PermitOwners::isOwn(std::string_view subject, std::int64_t number) const
{
    const std::uint64_t permit = mix(hashOf(subject), static_cast<std::uint64_t>(number));
    const std::uint64_t own = mix(m_self, permit);
    return m_isShared && std::none_of(m_others.begin(), m_others.end(), [&](std::uint64_t vm) {
               return mix(vm, permit) > own;
           });
}

std::optional<Instant> PermitOwners::nextOwn(std::string_view subject, Instant begin, std::chrono::nanoseconds interval, Instant moment) const
{
    if (!m_isShared) {
        return std::nullopt;
    }
    const std::int64_t first = std::max<std::int64_t>(0, (moment - begin) / interval + 1);
    const auto end = first + SoughtPermitsPerVm * static_cast<std::int64_t>(m_others.size() + 1);
    for (std::int64_t number = first; number < end; ++number) {
        if (isOwn(subject, number)) {
            return begin + number * interval;
        }
    }
    return std::nullopt;
}

} // namespace auburndrum::decision
