#include "auburndrum/decision/gossipdelta.h"

namespace auburndrum::decision {

namespace {

constexpr std::chrono::seconds LeavingServerLifetime{1800};
constexpr std::chrono::seconds LinkDemandLifetime{600};
constexpr std::chrono::seconds CircuitLifetime{60};
constexpr std::size_t DeltaOverheadBytes = 24; ///< brackets, quotes, numbers

template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

std::string memberKey(const std::string &name)
{
    return "m/" + name;
}

std::string deltaKey(const DeltaValue &value)
{
    return std::visit(Overloaded{
                          [](const MemberRecord &it) {
                              return memberKey(it.name);
                          },
                          [](const LeavingServer &it) {
                              return "l/" + it.server;
                          },
                          [](const LinkDemand &it) {
                              return "d/" + it.entryVm + "/" + it.link;
                          },
                          [](const CircuitReport &it) {
                              return "c/" + it.entryVm + "/" + it.server;
                          },
                      },
                      value);
}

RecordVersion deltaVersion(const DeltaValue &value)
{
    return std::visit(Overloaded{
                          [](const MemberRecord &it) {
                              return recordVersion(it);
                          },
                          [](const LeavingServer &it) {
                              return RecordVersion{it.incarnation, 0};
                          },
                          [](const LinkDemand &it) {
                              return RecordVersion{it.sequence, 0};
                          },
                          [](const CircuitReport &it) {
                              return RecordVersion{it.sequence, 0};
                          },
                      },
                      value);
}

DeltaScope deltaScope(const DeltaValue &value)
{
    return std::holds_alternative<LinkDemand>(value) ? DeltaScope::Region : DeltaScope::Fleet;
}

bool isUrgent(const DeltaValue &value)
{
    if (const auto *record = std::get_if<MemberRecord>(&value)) {
        const bool refutes = record->liveness == Liveness::Alive && record->refutation > 0;
        return record->leaving || refutes || record->liveness == Liveness::Suspect;
    }
    return std::holds_alternative<LeavingServer>(value);
}

std::chrono::seconds deltaLifetime(const DeltaValue &value)
{
    return std::visit(Overloaded{
                          [](const MemberRecord &) {
                              return std::chrono::seconds::max();
                          },
                          [](const LeavingServer &) {
                              return LeavingServerLifetime;
                          },
                          [](const LinkDemand &) {
                              return LinkDemandLifetime;
                          },
                          [](const CircuitReport &) {
                              return CircuitLifetime;
                          },
                      },
                      value);
}

std::size_t deltaBytes(const DeltaValue &value)
{
    return DeltaOverheadBytes
        + std::visit(Overloaded{
                         [](const MemberRecord &it) {
                             return it.name.size() + it.address.size() + it.zone.size() + it.region.size() + DeltaOverheadBytes;
                         },
                         [](const LeavingServer &it) {
                             return it.server.size();
                         },
                         [](const LinkDemand &it) {
                             return it.entryVm.size() + it.link.size();
                         },
                         [](const CircuitReport &it) {
                             return it.entryVm.size() + it.server.size();
                         },
                     },
                     value);
}

} // namespace auburndrum::decision
