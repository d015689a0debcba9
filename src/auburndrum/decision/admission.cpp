#include "auburndrum/decision/admission.h"

#include <algorithm>

namespace auburndrum::decision {

std::optional<std::chrono::milliseconds> checkAdmission(const AdmissionInput &input, const AdmissionOptions &options)
{
    const std::chrono::duration<double, std::nano> allowed = input.firstTokenTimeout * options.maxDeadlineShare;
    const std::chrono::nanoseconds predicted = input.predictedQueueTime + input.predictedFirstTokenTime;
    if (predicted <= allowed) {
        return std::nullopt;
    }
    const auto over = std::chrono::ceil<std::chrono::milliseconds>(predicted - allowed);
    return std::clamp(over, options.minRetryAfter, options.maxRetryAfter);
}

std::chrono::seconds retryAfterSeconds(std::chrono::milliseconds retryAfter)
{
    return std::chrono::ceil<std::chrono::seconds>(retryAfter);
}

} // namespace auburndrum::decision
