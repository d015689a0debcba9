#include "standins/service/executionlog.h"

#include <utility>

namespace auburndrum::standins {

std::uint64_t ExecutionLog::run(Execution call)
{
    call.number = m_executions.size() + 1;
    m_executions.push_back(std::move(call));
    return m_executions.back().number;
}

std::optional<Execution> ExecutionLog::find(const std::string &key, const std::string &organisation) const
{
    if (key.empty()) {
        return std::nullopt;
    }
    for (const Execution &it : m_executions) {
        if (it.key == key && it.organisation == organisation) {
            return it;
        }
    }
    return std::nullopt;
}

const std::vector<Execution> &ExecutionLog::all() const
{
    return m_executions;
}

} // namespace auburndrum::standins
