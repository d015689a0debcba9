#pragma once

#include "standins/common/faults.h"

#include "auburndrum/net/exchange.h"

#include <nlohmann/json.hpp>

#include <QByteArray>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// The answer to one request, bent by the connection fault that the request met.
class Reply : public std::enable_shared_from_this<Reply>
{
public:
    Reply(std::shared_ptr<net::Exchange> exchange, std::optional<Fault> fault);

    const net::Exchange &request() const;

    void respond(int status, const std::vector<net::Header> &headers, const QByteArray &body);
    void respondJson(int status, const nlohmann::json &json, const std::vector<net::Header> &headers = {});
    void respondError(int status, const std::string &code, const std::string &message, const std::vector<net::Header> &headers = {});
    void respondEmpty();
    void startStream(int status, const std::vector<net::Header> &headers);
    void writeChunk(const QByteArray &part);
    void finishStream();

private:
    /// Parts of a stream that a half-open connection still passes on.
    static constexpr int HalfOpenParts = 3;

    bool has(FaultMode mode) const;
    void schedule(std::function<void(net::Exchange &)> step);

    std::shared_ptr<net::Exchange> m_exchange;
    std::optional<Fault> m_fault;
    int m_parts = 0;
    int m_scheduled = 0;
};

/// Returns the error object of docs/PEERS.md.
nlohmann::json errorJson(int status, const std::string &code, const std::string &message);

} // namespace auburndrum::standins
