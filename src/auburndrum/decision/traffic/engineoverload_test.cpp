#include "auburndrum/decision/traffic/serverchooser.h"
#include "auburndrum/decision/traffic/urgency.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr auto Target = 1000ms;
constexpr auto Timeout = 15000ms;
constexpr std::uint32_t PromptTokens = 12000;
constexpr std::uint32_t OutputTokens = 16; // few enough that reading, not memory, limits the engines
constexpr std::uint32_t MemoryTokens = 120000;
constexpr std::uint32_t ChunkTokens = 4096;
constexpr double PrefillRate = 60; // prompt tokens per millisecond
constexpr double StepMs = 4;

struct Run
{
    ServerChoice choice;
    Instant sentAt{};
    std::uint32_t unread = PromptTokens;
    std::uint32_t left = OutputTokens;
    bool hasBegun = false;

    std::uint32_t memory() const
    {
        return PromptTokens - unread + OutputTokens - left;
    }
};

/// An engine that prefills in chunks between the steps of other runs, takes memory as it reads, and preempts its newest run when memory runs out.
struct Engine
{
    std::deque<Run> waiting;
    std::vector<Run> running;
    Instant busyUntil{};

    std::uint32_t usedMemory() const
    {
        std::uint32_t tokens = 0;
        for (const Run &it : running) {
            tokens += it.memory();
        }
        return tokens;
    }

    void preemptNewest()
    {
        Run it = running.back();
        running.pop_back();
        it.unread = PromptTokens;
        waiting.push_front(it);
    }

    /// One step; the runs that got their first event and those that ended are appended.
    void step(Instant now, std::vector<Run> &begun, std::vector<Run> &ended)
    {
        while (!waiting.empty() && usedMemory() + ChunkTokens <= MemoryTokens) {
            running.push_back(waiting.front());
            waiting.pop_front();
        }
        const auto reader = std::find_if(running.begin(), running.end(), [](const Run &it) {
            return it.unread > 0;
        });
        std::uint32_t chunk = 0;
        if (reader != running.end()) {
            chunk = std::min(reader->unread, ChunkTokens);
            reader->unread -= chunk;
        }
        for (Run &it : running) {
            if (it.unread == 0 && it.left > 0) {
                --it.left;
                if (!it.hasBegun) {
                    it.hasBegun = true;
                    begun.push_back(it);
                }
            }
        }
        std::copy_if(running.begin(), running.end(), std::back_inserter(ended), [](const Run &it) {
            return it.left == 0;
        });
        std::erase_if(running, [](const Run &it) {
            return it.left == 0;
        });
        while (usedMemory() > MemoryTokens && running.size() > 1) {
            preemptNewest();
        }
        busyUntil = now + std::chrono::microseconds(static_cast<std::int64_t>((StepMs + chunk / PrefillRate) * 1000));
    }
};

struct Outcome
{
    int asked = 0;
    int onTime = 0;
    int refused = 0;
};

/// Three engines get a request every 55 ms, six fifths of what they can read, for 40 s.
Outcome play(bool refusesLongQueues)
{
    BackendList servers;
    const StoredPrompts stored({.zone = "a"});
    const ServerLimits limits({.vm = "vm"});
    const ServerPauses pauses;
    const BrittleServers brittle({.vm = "vm"});
    ServerChooser chooser({.zone = "a"}, servers, stored, limits, pauses, brittle);
    Configuration configuration;
    configuration.services["llm"] = ServiceTraits{"llm", "/", 0, EngineTraits{48, MemoryTokens, 1000}};
    chooser.configure(configuration);
    std::map<std::string, Engine> engines;
    Instant now{1000s};
    for (const char *id : {"e1", "e2", "e3"}) {
        BackendServer it;
        it.id = id;
        it.service = "llm";
        it.zone = "a";
        it.weightVersions["m"] = 1;
        servers.put(it, now);
        engines[id] = {};
    }
    Outcome outcome;
    const Instant end = now + 40s;
    Instant nextArrival = now;
    for (; now < end; now += 1ms) {
        for (auto &[id, engine] : engines) {
            std::vector<Run> begun;
            std::vector<Run> ended;
            if (now < engine.busyUntil) {
                continue;
            }
            engine.step(now, begun, ended);
            for (const Run &it : begun) {
                chooser.onFirstEvent(it.choice, std::chrono::floor<std::chrono::microseconds>(now - it.sentAt), now);
                const auto n = static_cast<std::uint32_t>(engine.running.size());
                const auto waiting = static_cast<std::uint32_t>(engine.waiting.size());
                chooser.onLoadReport(id, {n, waiting, 48}, now);
                outcome.onTime += now - it.sentAt <= Target ? 1 : 0;
            }
            for (const Run &it : ended) {
                chooser.onFinished(it.choice, true, std::chrono::floor<std::chrono::microseconds>(now - it.sentAt));
            }
        }
        if (now < nextArrival) {
            continue;
        }
        nextArrival += 55ms;
        Prompt prompt;
        prompt.model = "m";
        prompt.parts = {{"p" + std::to_string(outcome.asked), PromptTokens}};
        prompt.inputTokens = PromptTokens;
        prompt.maxOutputTokens = OutputTokens;
        ++outcome.asked;
        ServerQuery query;
        query.service = "llm";
        query.prompt = &prompt;
        NoServerReason reason = NoServerReason::NoneListed;
        const auto choice = chooser.choose(query, now, reason);
        const bool isSent = choice && canStartInTime(choice->expectedWait, Timeout)
            && !(refusesLongQueues && isQueueTooLong(choice->expectedWait, choice->idlePrefill, Target));
        if (!isSent) {
            ++outcome.refused;
            continue;
        }
        chooser.onSent(*choice, &prompt, now);
        engines[choice->id].waiting.push_back({*choice, now});
    }
    return outcome;
}

} // namespace

TEST_CASE("engines that get more than they can read serve most requests on time when long queues are refused")
{
    // Guards against engines that collapse under a little too much work: queues of seconds made nearly all late.
    const Outcome queueing = play(false);
    const Outcome refusing = play(true);
    CAPTURE(queueing.onTime);
    CAPTURE(refusing.onTime);
    CAPTURE(refusing.refused);
    CHECK(2 * refusing.onTime >= refusing.asked);
    CHECK(refusing.onTime >= 2 * queueing.onTime);
}
