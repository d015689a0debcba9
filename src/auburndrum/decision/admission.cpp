#include "auburndrum/decision/admission.h"

#include <algorithm>

namespace auburndrum::decision {

std::optional<std::chrono::milliseconds> refuse(const AdmissionInput &input, const AdmissionOptions &options)
{
    const std::chrono::duration<double, std::nano> allowed = input.deadline * options.slack;
    const std::chrono::nanoseconds predicted = input.predictedQueue + input.predictedFirstToken;
    if (predicted <= allowed) {
        return std::nullopt;
    }
    const auto over = std::chrono::ceil<std::chrono::milliseconds>(predicted - allowed);
    return std::clamp(over, options.minRetryAfter, options.maxRetryAfter);
}

std::chrono::seconds retryAfterHeader(std::chrono::milliseconds retryAfter)
{
    return std::chrono::ceil<std::chrono::seconds>(retryAfter);
}

} // namespace auburndrum::decision
