#pragma once

#include "auburndrum/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// One call that the plain service has run.
struct Execution
{
    std::uint64_t number = 0; ///< from 1, in the order of running
    std::string key; ///< Idempotency-Key; empty when the call had none
    std::string organisation;
    std::string attempt;
    std::string path;
    std::string body;
    WallTime time;
};

/// Every call that the service has run. It runs whatever comes, also the same key twice, so that a repeat is seen.
class ExecutionLog
{
public:
    /// Records the call under the next number and returns that number.
    std::uint64_t run(Execution call);

    /// Returns the first execution with this key of this organisation.
    std::optional<Execution> find(const std::string &key, const std::string &organisation) const;

    const std::vector<Execution> &all() const;

private:
    std::vector<Execution> m_executions;
};

} // namespace auburndrum::standins
