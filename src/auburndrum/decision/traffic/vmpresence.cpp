#include "auburndrum/decision/traffic/vmpresence.h"

#include <algorithm>

namespace auburndrum::decision {

VmPresence::VmPresence(VmPresenceOptions options)
    : m_options(std::move(options))
{
}

bool VmPresence::isSilent(const State &it) const
{
    return it.silentAt - it.heardAt >= m_options.minSilence;
}

void VmPresence::recordSilent(State &it, Instant at) const
{
    const bool wasSilent = isSilent(it);
    it.silentAt = std::max(it.silentAt, at);
    if (!wasSilent && isSilent(it)) {
        it.silentSince = it.silentAt;
    }
}

void VmPresence::onHeard(std::string_view vm, Instant now)
{
    const auto it = m_vms.find(vm);
    State &state = it == m_vms.end() ? m_vms[std::string(vm)] : it->second;
    state.heardAt = std::max(state.heardAt, now);
}

void VmPresence::onSilent(std::string_view vm, Instant now)
{
    const auto it = m_vms.find(vm);
    recordSilent(it == m_vms.end() ? m_vms[std::string(vm)] : it->second, now);
}

std::vector<std::string> VmPresence::present(const std::vector<std::string> &known, Instant now) const
{
    std::vector<std::string> present;
    std::vector<std::string> presentOrIsolated; // those that may only be cut off from this VM too
    for (const std::string &it : known) {
        const auto state = m_vms.find(it);
        const bool isAbsent = it != m_options.vm && state != m_vms.end() && isSilent(state->second);
        if (!isAbsent) {
            present.push_back(it);
        }
        if (!isAbsent || now - state->second.silentSince < m_options.isolationTime) {
            presentOrIsolated.push_back(it);
        }
    }
    return 2 * present.size() > known.size() ? present : presentOrIsolated;
}

std::vector<VmSilence> VmPresence::silences(Instant now) const
{
    std::vector<VmSilence> list;
    for (const auto &[vm, it] : m_vms) {
        if (it.silentAt != Instant{} && now - it.silentAt <= m_options.reportLifetime) {
            list.push_back({vm, it.silentAt, it.heardAt});
        }
    }
    return list;
}

void VmPresence::merge(const std::vector<VmSilence> &silences)
{
    for (const VmSilence &it : silences) {
        if (it.vm == m_options.vm) {
            continue;
        }
        State &state = m_vms[it.vm];
        state.heardAt = std::max(state.heardAt, it.heardAt);
        recordSilent(state, it.silentAt);
    }
}

} // namespace auburndrum::decision
