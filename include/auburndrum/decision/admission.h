#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace auburndrum::decision {

/// What admission looks at.
struct AdmissionInput
{
    std::chrono::nanoseconds predictedQueueTime{}; ///< in the entry's queue, before a backend server gets the request
    std::chrono::nanoseconds predictedFirstTokenTime{}; ///< from then on
    std::chrono::nanoseconds firstTokenTimeout{}; ///< of the first token
};

/// Options of admission.
struct AdmissionOptions
{
    double maxDeadlineShare = 1.0; ///< share of the deadline that a prediction may use
    std::chrono::milliseconds minRetryAfter{1000};
    std::chrono::milliseconds maxRetryAfter{30000};
};

/// Refuses a request whose first token is predicted past its deadline.
///
/// Returns the time after which the queue will have drained enough, for Retry-After; nothing when admitted.
std::optional<std::chrono::milliseconds> checkAdmission(const AdmissionInput &input, const AdmissionOptions &options = {});

/// Rounds up to whole seconds, as the Retry-After header has them.
std::chrono::seconds retryAfterSeconds(std::chrono::milliseconds retryAfter);

} // namespace auburndrum::decision
