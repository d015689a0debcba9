#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace auburndrum::bench {

/// How backend servers are chosen in one run.
enum class Policy : std::uint8_t {
    Auburndrum, ///< the shipped decisions
    RoundRobin,
    LeastLoad,
    PrefixHash, ///< rendezvous hash of the prompt's start, nothing else
    AlwaysImport, ///< least load; reads from the store whatever it holds
    AlwaysRecompute, ///< least load; reuses nothing
    Oracle, ///< the shipped decisions on true load and cache, without delay
};

constexpr std::array Policies{
    Policy::Auburndrum, Policy::RoundRobin, Policy::LeastLoad, Policy::PrefixHash, Policy::AlwaysImport, Policy::AlwaysRecompute, Policy::Oracle};

/// What goes wrong from the middle of the measured time on.
enum class Fault : std::uint8_t {
    None,
    ServerKilled,
    StoreFull,
    LinkAtTenth,
    LateReports, ///< load reports are 5 s late
    EventsLost, ///< one cache event in twenty is lost
    ZoneCut, ///< the second zone and the others can't reach each other
    WeightsSwapped,
};

constexpr std::array Faults{
    Fault::None, Fault::ServerKilled, Fault::StoreFull, Fault::LinkAtTenth, Fault::LateReports, Fault::EventsLost, Fault::ZoneCut, Fault::WeightsSwapped};

constexpr std::string_view nameOf(Policy policy)
{
    constexpr std::array<std::string_view, Policies.size()> Names{
        "auburndrum", "round-robin", "least-load", "prefix-hash", "always-import", "always-recompute", "oracle"};
    return Names.at(static_cast<std::size_t>(policy));
}

constexpr std::string_view nameOf(Fault fault)
{
    constexpr std::array<std::string_view, Faults.size()> Names{
        "none", "server-killed", "store-full", "link-at-tenth", "late-reports", "events-lost", "zone-cut", "weights-swapped"};
    return Names.at(static_cast<std::size_t>(fault));
}

/// True for the policies that use the shipped router, queue and limits.
constexpr bool isShipped(Policy policy)
{
    return policy == Policy::Auburndrum || policy == Policy::Oracle;
}

/// True for the policies that use the store.
constexpr bool usesStore(Policy policy)
{
    return isShipped(policy) || policy == Policy::AlwaysImport;
}

} // namespace auburndrum::bench
