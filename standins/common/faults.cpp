#include "standins/common/faults.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburndrum::standins {

namespace {

struct ModeName
{
    std::string_view name;
    FaultMode mode;
};

constexpr std::array ModeNames{
    ModeName{"refuse", FaultMode::Refuse},
    ModeName{"reset", FaultMode::Reset},
    ModeName{"hang", FaultMode::Hang},
    ModeName{"half_open", FaultMode::HalfOpen},
    ModeName{"slow", FaultMode::Slow},
    ModeName{"lose_reply", FaultMode::LoseReply},
    ModeName{"apply_late", FaultMode::ApplyLate},
    ModeName{"event_gap", FaultMode::EventGap},
    ModeName{"stale_load", FaultMode::StaleLoad},
    ModeName{"ignore_fencing", FaultMode::IgnoreFencing},
    ModeName{"ignore_version", FaultMode::IgnoreVersion},
    ModeName{"wrong_attempt", FaultMode::WrongAttempt},
    ModeName{"partial_block", FaultMode::PartialBlock},
    ModeName{"full", FaultMode::Full},
};

bool matches(const Fault &fault, std::string_view path)
{
    return path.substr(0, fault.pathPrefix.size()) == fault.pathPrefix;
}

} // namespace

std::optional<FaultMode> faultModeByName(std::string_view name)
{
    for (const ModeName &it : ModeNames) {
        if (it.name == name) {
            return it.mode;
        }
    }
    return std::nullopt;
}

bool isConnectionFault(FaultMode mode)
{
    switch (mode) {
    case FaultMode::Refuse:
    case FaultMode::Reset:
    case FaultMode::Hang:
    case FaultMode::HalfOpen:
    case FaultMode::Slow:
    case FaultMode::LoseReply:
    case FaultMode::ApplyLate:
        return true;
    default:
        return false;
    }
}

void FaultSwitches::set(const Fault &fault)
{
    m_faults.push_back(fault);
}

void FaultSwitches::clear()
{
    m_faults.clear();
}

std::optional<Fault> FaultSwitches::take(FaultMode mode, std::string_view path)
{
    return takeAt(std::find_if(m_faults.begin(), m_faults.end(), [&](const Fault &it) {
        return it.mode == mode && matches(it, path);
    }));
}

std::optional<Fault> FaultSwitches::takeConnectionFault(std::string_view method, std::string_view path)
{
    return takeAt(std::find_if(m_faults.begin(), m_faults.end(), [&](const Fault &it) {
        return isConnectionFault(it.mode) && matches(it, path) && (it.method.empty() || it.method == method);
    }));
}

std::optional<Fault> FaultSwitches::takeAt(std::vector<Fault>::iterator it)
{
    if (it == m_faults.end()) {
        return std::nullopt;
    }
    Fault taken = *it;
    if (it->count == 0) {
        return taken;
    }
    --it->count;
    if (it->count == 0) {
        m_faults.erase(it);
    }
    return taken;
}

} // namespace auburndrum::standins
