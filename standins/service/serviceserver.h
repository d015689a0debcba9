#pragma once

#include "standins/common/program.h"
#include "standins/service/executionlog.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace auburndrum::standins {

/// Settings of the plain service.
struct ServiceOptions
{
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds callTime{0}; ///< from the effect of a call to its answer
};

/// A plain service that runs every call it gets and remembers each one.
class ServiceServer : public Server
{
public:
    explicit ServiceServer(const ServiceOptions &options);

    StandIn &standIn() override;

private:
    void handle(const std::shared_ptr<Reply> &reply);
    void handleCall(const std::shared_ptr<Reply> &reply);
    void handleLookup(Reply &reply) const;
    void handleLeaving(Reply &reply);
    nlohmann::json executionsJson() const;
    nlohmann::json loadJson() const;

    ServiceOptions m_options;
    ExecutionLog m_executions;
    std::uint32_t m_running = 0;
    bool m_leaving = false;
    StandIn m_standIn;
};

} // namespace auburndrum::standins
