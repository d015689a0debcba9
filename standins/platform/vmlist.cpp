#include "standins/platform/vmlist.h"

namespace auburndrum::standins {

VmList::VmList(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

void VmList::put(const VmRecord &vm, Instant now)
{
    m_changes.push_back({now + m_lag, vm.name, vm});
}

void VmList::remove(const std::string &name, Instant now)
{
    m_changes.push_back({now + m_lag, name, std::nullopt});
}

std::vector<VmRecord> VmList::visible(Instant now)
{
    applyUntil(now);
    std::vector<VmRecord> out;
    for (const auto &[name, vm] : m_shown) {
        out.push_back(vm);
    }
    return out;
}

void VmList::applyUntil(Instant now)
{
    while (!m_changes.empty() && m_changes.front().shownAt <= now) {
        const Change &it = m_changes.front();
        if (it.vm) {
            m_shown[it.name] = *it.vm;
        } else {
            m_shown.erase(it.name);
        }
        m_changes.pop_front();
    }
}

} // namespace auburndrum::standins
