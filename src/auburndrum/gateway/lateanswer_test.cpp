#include "auburndrum/gateway/promptstorereader.h"
#include "auburndrum/gateway/relaylink.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

/// The calls that a store or an engine has not answered yet.
using OpenCalls = std::vector<std::function<void()>>;

/// A store that answers when the test says so.
RecordStore heldStore(OpenCalls &calls)
{
    RecordStore it;
    it.readNewest = [&calls](const std::string &, const std::string &, auto done) {
        calls.push_back([done] {
            done(NewestPage{});
        });
    };
    it.read = [&calls](const RecordQuery &, auto done) {
        calls.push_back([done] {
            done(failure(StoreError::TimedOut));
        });
    };
    it.put = [&calls](const std::string &, const std::string &, const QByteArray &, auto done) {
        calls.push_back([done] {
            done(failure(StoreError::TimedOut));
        });
    };
    return it;
}

/// A state that counts its log lines.
struct LoggedState
{
    int lines = 0;
    GatewayState state{{.zone = "zone"},
                       {.vm = "vm",
                        .write =
                            [this](std::string_view) {
                                ++lines;
                            }},
                       Wire{},
                       {}};
};

} // namespace

// Guards against answers of the store that are handled by objects that are gone: the long read of a feed outlives the gateway by its whole wait, and its answer
// wrote into freed memory (std::bad_alloc in stopgrace_test).
TEST_CASE("a store's answer after the deletion of the link that asked is dropped")
{
    OpenCalls calls;
    LoggedState logged;
    int answers = 0;
    std::optional<RelayLink> link;
    RelayLinkOptions options;
    options.self = {"vm", "127.0.0.1:0", "zone", 10};
    options.directoryTopic = "entries";
    link.emplace(options, logged.state, heldStore(calls), RelayLinkHooks{});
    const RecordStore store = link->relayedStore();
    link->start(); // registers
    store.read({"operator", 0, 1s}, [&answers](const StoreResult<RecordBatch> &) {
        ++answers;
    });
    store.readNewest("operator", {}, [&answers](const StoreResult<NewestPage> &) {
        ++answers;
    });
    REQUIRE(calls.size() == 3);
    link.reset();
    const int linesBefore = logged.lines;
    for (const auto &answer : calls) {
        answer();
    }
    CHECK(answers == 0);
    CHECK(logged.lines == linesBefore);
}

// Guards against the same from engines: a poll of a prompt store waits for changes, and its failure was handled by the deleted reader.
TEST_CASE("a prompt store's answer after the deletion of its reader is dropped")
{
    OpenCalls calls;
    LoggedState logged;
    logged.state.storedPrompts.configure({{"10.0.0.1:1", "zone", 1000, 8e9, {}, true}});
    EngineControl engines;
    engines.readStoreChanges = [&calls](const std::string &, std::uint64_t, std::chrono::milliseconds, const auto &done) {
        calls.push_back([done] {
            done(decision::PromptStoreUpdate{.incarnation = 1, .nextChange = 1});
        });
    };
    int updates = 0;
    std::optional<PromptStoreReader> reader;
    reader.emplace(PromptStoreReaderOptions{},
                   logged.state,
                   engines,
                   PromptStoreReaderHooks{.onUpdate =
                                              [&updates](const std::string &, const decision::PromptStoreUpdate &) {
                                                  ++updates;
                                              },
                                          .onUnreachable = {}});
    reader->configure();
    reader->setPolling(true);
    REQUIRE(calls.size() == 1);
    reader.reset();
    calls.front()();
    CHECK(updates == 0);
    CHECK(calls.size() == 1);
}
