#pragma once

#include "auburndrum/gateway/exchangemessages.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/relaylink.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace auburndrum::gateway {

/// The call by which entry VMs exchange what they know; parameters and result are an ExchangeMessage each.
constexpr char ExchangeMethod[] = "quarantine.exchange";

/// @brief Exchanges evidence on crashes, and limits of backend servers, with other entry VMs, and logs what is decided.
///
/// While there is any, each VM calls a few others, chosen at random, and both learn what the other knows; so news reach all VMs of a large fleet in a few
/// rounds. Whether they answer tells which VMs share the limits. A VM that starts asks once. Without news there are no calls. Lives on the event loop's thread.
class PeerExchange : public QObject
{
    Q_OBJECT

public:
    PeerExchange(GatewayState &state, RelayLink &relayLink, QObject *parent = nullptr);

    void start();

private:
    void wake();
    void tick();
    void logChanges();
    std::optional<std::chrono::milliseconds> exchangeInterval() const;
    /// Shares limits among the VMs that are present.
    void updateSharingVms();
    void exchange();
    void callPeer(const decision::EntryVm &vm);
    entry::RpcResult handleExchange(const std::string &request);
    ExchangeMessage message() const;
    void merge(const ExchangeMessage &message);
    /// Those on servers that this VM knows; notices on servers that are gone would go round for ever.
    std::vector<decision::LimitNotice> listedServers(std::vector<decision::LimitNotice> notices) const;

    GatewayState &m_state;
    RelayLink &m_relayLink;
    decision::VmPresence m_presence;
    QTimer m_timer;
    bool m_hasAsked = false; ///< whether another VM has answered since the start
    Instant m_exchangedAt{}; ///< suspend-aware, as the next two
    Instant m_directoryReadAt{};
    std::map<std::string, Instant> m_skippedUntil; ///< VMs that did not answer, by name
};

} // namespace auburndrum::gateway
