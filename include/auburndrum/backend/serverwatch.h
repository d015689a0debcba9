#pragma once

#include "auburndrum/backend/fleet.h"
#include "auburndrum/net/httpclient.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburndrum::backend {

/// Options of a ServerWatch.
struct ServerWatchOptions
{
    std::chrono::milliseconds loadInterval{500};
    std::chrono::milliseconds callTimeout{1500};
    std::chrono::milliseconds eventWait{5000}; ///< wait time of a long poll for cache events
};

/// Hooks of a ServerWatch.
struct ServerWatchHooks
{
    std::function<void(const std::string &address, std::uint64_t incarnation)> onLeaving; ///< a server reports for the first time that it is leaving
};

/// @brief Polls load reports and cache events of the backend servers in the fleet.
///
/// Holds no list of servers of its own: each round polls the servers that the fleet has at that time.
class ServerWatch : public QObject
{
public:
    ServerWatch(net::HttpClient &http, Fleet &fleet, ServerWatchOptions options, ServerWatchHooks hooks, QObject *parent = nullptr);

    void start();

private:
    struct Watched
    {
        std::uint64_t nextEvent = 1;
        std::uint64_t incarnation = 0;
        bool isReadingLoad = false;
        bool isReadingEvents = false;
        bool hasEvents = true; ///< false once the server responded 404, as plain services do
        bool isLeaving = false;
    };

    void pollServers();
    void readLoad(const decision::Server &server);
    void readEvents(const decision::Server &server);
    void resync(const WatchedServer &server);
    void handleLoad(const std::string &address, const net::HttpResult &result);
    void handleEvents(const WatchedServer &server, const net::HttpResult &result);
    net::HttpCall callTo(const std::string &address, const QByteArray &target) const;

    net::HttpClient &m_http;
    Fleet &m_fleet;
    ServerWatchOptions m_options;
    ServerWatchHooks m_hooks;
    QTimer m_timer;
    std::map<std::string, Watched> m_watched;
};

} // namespace auburndrum::backend
