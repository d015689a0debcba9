#include "auburndrum/gateway/promptstorereader.h"

#include "eventloop.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

/// Polls of so many prompt stores in one second, each of which answers at once.
int pollsPerSecond(int stores)
{
    GatewayState state({.zone = "zone"},
                       {.vm = "vm",
                        .write =
                            [](std::string_view) {
                            }},
                       Wire{},
                       {});
    std::vector<decision::PromptStoreTraits> traits;
    traits.reserve(static_cast<std::size_t>(stores));
    for (int n = 0; n < stores; ++n) {
        traits.push_back({"10.0.0." + std::to_string(n) + ":1", "zone", 1000, 8e9, {}, true});
    }
    state.storedPrompts.configure(traits);
    int polls = 0;
    QObject context;
    EngineControl engines;
    engines.readStoreChanges = [&](const std::string &, std::uint64_t, std::chrono::milliseconds, const std::function<void(const PromptStoreResult &)> &done) {
        ++polls;
        QTimer::singleShot(1ms, &context, [done] {
            done(decision::PromptStoreUpdate{.incarnation = 1, .nextChange = 1});
        });
    };
    PromptStoreReader reader({}, state, engines, {});
    reader.configure();
    reader.setPolling(true);
    runFor(1s);
    return polls;
}

} // namespace

TEST_CASE("polls of prompt stores a second don't grow with the number of stores")
{
    // Guards against relays that are late for their whole zone: 49 stores were polled ten times a second each.
    CHECK(pollsPerSecond(5) >= 25);
    CHECK(pollsPerSecond(50) <= 150); // a hundred a second, and the first of each store
    CHECK(pollsPerSecond(200) <= 300);
}
