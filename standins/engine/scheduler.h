#pragma once

#include "standins/engine/prefixcache.h"

#include "auburndrum/base/time.h"

#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::standins {

/// Speed and limits of one engine.
struct SchedulerOptions
{
    double prefillTokensPerSecond = 20'000;
    std::chrono::nanoseconds decodeStep = std::chrono::milliseconds(10); ///< from one token of a run to its next
    std::uint32_t maxRunning = 16; ///< runs in the batch
    std::uint32_t maxQueued = 64;
};

/// One prompt to run.
struct RunRequest
{
    std::string attempt;
    std::string organisation;
    std::vector<std::string> pieceKeys; ///< of the prompt, oldest first
    std::uint64_t promptTokens = 0;
    std::uint32_t maxTokens = 16;
    std::uint8_t priority = 5; ///< 0 highest to 9
};

/// Why a prompt was not taken; nothing of it has run.
enum class SubmitError {
    Overloaded,
    Leaving,
};

template<typename T>
using SubmitResult = boost::outcome_v2::result<T, SubmitError, boost::outcome_v2::policy::all_narrow>;

/// What the scheduler tells of its runs.
struct SchedulerHooks
{
    std::function<void(const std::string &attempt, std::uint64_t cachedTokens)> onStarted;
    std::function<void(const std::string &attempt, std::uint32_t index, bool last)> onToken;
};

/// How busy the engine is.
struct SchedulerLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t queuedPrefillTokens = 0; ///< uncached prompt tokens of waiting runs
};

/// Continuous batching in virtual time: prompts are prefilled one after another, and every prefilled run decodes at its own steady step.
class Scheduler
{
public:
    Scheduler(const SchedulerOptions &options, PrefixCache &cache, SchedulerHooks hooks);

    SubmitResult<void> submit(const RunRequest &request, Instant now);

    /// Ends a waiting or running prompt; no further token comes.
    void cancel(const std::string &attempt);

    /// Moves time on and reports what happened up to now.
    void advance(Instant now);

    /// When advance() has something to do next.
    std::optional<Instant> nextWake() const;

    void setLeaving(bool leaving);
    bool isLeaving() const;
    SchedulerLoad load() const;

private:
    struct Waiting
    {
        RunRequest request;
        Instant arrivedAt;
    };

    struct Prefill
    {
        RunRequest request;
        Instant finishAt;
    };

    struct Decoding
    {
        std::uint32_t emitted = 0;
        std::uint32_t maxTokens = 0;
        Instant nextAt;
    };

    void startPrefill(Instant now);
    bool finishPrefill(Instant now);
    void decode(Instant now);
    std::uint64_t cachedTokens(const RunRequest &request) const;

    SchedulerOptions m_options;
    PrefixCache &m_cache;
    SchedulerHooks m_hooks;
    std::list<Waiting> m_waiting; ///< highest priority first, then oldest first
    std::optional<Prefill> m_prefill;
    std::map<std::string, Decoding> m_decoding;
    Instant m_prefillFreeAt{};
    bool m_leaving = false;
};

} // namespace auburndrum::standins
