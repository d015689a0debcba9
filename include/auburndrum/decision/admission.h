#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace auburndrum::decision {

/// Predictions for a request that asks for admission.
struct AdmissionInput
{
    std::chrono::nanoseconds predictedQueueTime{}; ///< wait in the entry VM's queue, before the request is sent to a backend server
    std::chrono::nanoseconds predictedFirstTokenTime{}; ///< time from sending the request to its first token
    std::chrono::nanoseconds firstTokenTimeout{}; ///< time left until the first token is due
};

/// Options of checkAdmission().
struct AdmissionOptions
{
    double maxDeadlineShare = 1.0; ///< part of firstTokenTimeout that the predicted time may use up
    std::chrono::milliseconds minRetryAfter{1000};
    std::chrono::milliseconds maxRetryAfter{30000};
};

/// Returns nothing when the request is admitted, and a retry delay when its first token is predicted after its deadline.
///
/// The retry delay, for Retry-After, is the time by which the prediction exceeds the deadline, within the bounds of @p options.
std::optional<std::chrono::milliseconds> checkAdmission(const AdmissionInput &input, const AdmissionOptions &options = {});

/// Rounds up to full seconds, the unit of the Retry-After header.
std::chrono::seconds retryAfterSeconds(std::chrono::milliseconds retryAfter);

} // namespace auburndrum::decision
