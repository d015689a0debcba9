#pragma once

#include "standins/common/program.h"
#include "standins/engine/kvtransfer.h"
#include "standins/engine/loadhistory.h"
#include "standins/engine/orders.h"
#include "standins/engine/prefixcache.h"
#include "standins/engine/runlist.h"
#include "standins/engine/scheduler.h"
#include "standins/engine/streams.h"

#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// Settings of the model engine.
struct EngineOptions
{
    SchedulerOptions scheduler;
    std::uint64_t cacheTokens = 200'000;
    std::uint32_t pieceTokens = 2000;
    std::uint64_t kvBytesPerToken = 64;
    std::chrono::milliseconds loadLag{200}; ///< age of the load report
    std::chrono::milliseconds loadTime{800}; ///< for a load of weights when there is no weight store
    std::optional<net::Address> weightStore;
    std::string version = "v1";
    std::uint64_t incarnation = 0;
};

/// A model engine: streams, cache events, load report, orders, KV export and import.
class EngineServer : public Server
{
public:
    explicit EngineServer(const EngineOptions &options);

    StandIn &standIn() override;

private:
    struct Subscriber
    {
        std::shared_ptr<Reply> reply;
        std::string echoedAttempt;
        std::uint32_t from = 0; ///< first event number wanted
        bool stream = false;
    };

    struct WaitingEvents
    {
        std::function<void()> answer;
        std::uint64_t from = 0;
        Instant deadline;
    };

    void handle(const std::shared_ptr<Reply> &reply);
    void handleCompletion(const std::shared_ptr<Reply> &reply, bool chat);
    void refuseRun(Reply &reply, SubmitError error);
    bool refuseVersion(Reply &reply);
    void handleStreamRead(const std::shared_ptr<Reply> &reply, const std::string &attempt);
    void handleCancel(Reply &reply, const std::string &attempt);
    void handleLoad(Reply &reply);
    void handleCacheEvents(const std::shared_ptr<Reply> &reply);
    void answerWaitingEvents();
    void handleOrder(Reply &reply);
    void startOrder(const Order &order);
    void handleLeaving(Reply &reply);

    void onStarted(const std::string &attempt, std::uint64_t cachedTokens);
    void onToken(const std::string &attempt, std::uint32_t index, bool last);
    void replay(const std::string &attempt, const StreamRecord &record, const Subscriber &subscriber);
    void finish(const std::string &attempt, const StreamRecord &record);

    void carryOut(const Order &order);
    std::vector<net::Header> answerHeaders(const Subscriber &subscriber, const StreamRecord &record) const;
    void advance();
    void sampleLoad();
    bool onFault(const Fault &fault);

    EngineOptions m_options;
    PrefixCache m_cache;
    Scheduler m_scheduler;
    StreamTable m_streams;
    OrderHandler m_orders;
    LoadHistory m_loads;
    RunList m_runs;
    KvTransfer m_kv;
    net::HttpClient m_client;
    std::map<std::string, std::vector<Subscriber>> m_subscribers; ///< by attempt
    std::list<WaitingEvents> m_waitingEvents;
    QTimer m_wakeTimer;
    QTimer m_sampleTimer;
    StandIn m_standIn;
};

} // namespace auburndrum::standins
