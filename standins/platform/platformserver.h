#pragma once

#include "standins/common/program.h"
#include "standins/platform/recordlog.h"
#include "standins/platform/vmlist.h"
#include "standins/platform/weightstore.h"

#include <QTimer>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace auburndrum::standins {

/// Settings of the platform.
struct PlatformOptions
{
    RecordLogOptions log;
    WeightStoreOptions weights;
    std::chrono::milliseconds vmLag{500};
};

/// The platform: append-only log, lagging VM list, weight store.
class PlatformServer : public Server
{
public:
    explicit PlatformServer(const PlatformOptions &options);

    StandIn &standIn() override;

private:
    struct WaitingRead
    {
        std::shared_ptr<Reply> reply;
        std::uint64_t from = 0;
        std::size_t limit = 0;
    };

    void handle(const std::shared_ptr<Reply> &reply);
    void handleAppend(Reply &reply);
    void handleRead(const std::shared_ptr<Reply> &reply);
    void handleVms(Reply &reply);
    void handleWeights(const std::shared_ptr<Reply> &reply);
    void answerRead(const WaitingRead &read);
    void answerWaitingReads();
    void finishLoads();
    void scheduleLoads();

    RecordLog m_log;
    VmList m_vms;
    WeightStore m_weights;
    std::list<WaitingRead> m_waitingReads;
    std::map<std::uint64_t, std::shared_ptr<Reply>> m_loads; ///< by load number
    QTimer m_loadTimer;
    StandIn m_standIn;
};

} // namespace auburndrum::standins
