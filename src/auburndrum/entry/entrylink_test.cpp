#include "auburndrum/entry/entrylink.h"

#include "auburndrum/net/httpserver.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QEventLoop>

#include <map>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace auburndrum::entry;

namespace {

/// Returns one client for all nodes. It lives as long as the program, as a daemon's client does.
net::HttpClient &sharedClient()
{
    static auto *client = new net::HttpClient(QCoreApplication::instance());
    return *client;
}

/// An entry VM on a loopback address. Its configuration is a placeholder text; transfers that it applies are recorded.
struct Node
{
    explicit Node(int n, const std::string &secret = "s3cret", const std::vector<std::string> &seeds = {})
        : server({}, [this](const std::shared_ptr<net::Exchange> &exchange) {
            if (!link || !link->handle(exchange)) {
                exchange->respond(404, {}, {});
            }
        })
    {
        const std::string name = "entry-" + std::to_string(n);
        address = net::toText(server.listenOn({QHostAddress("127.0.0.1"), 0}));
        EntryLinkOptions options;
        options.self = {name, address, "zone-1", "region-1", 1, 0, Liveness::Alive, false};
        options.fleetSecret = secret;
        options.seeds = seeds;
        options.gossip.roundPeriod = std::chrono::milliseconds(50);
        options.gossip.peers.seed = n;
        options.membership.suspicionBaseTime = std::chrono::milliseconds(200);
        options.membership.suspicionTimePerDoubling = std::chrono::milliseconds(50);
        link = std::make_unique<EntryLink>(sharedClient(), options, hooks(name));
        link->start();
    }

    EntryLinkHooks hooks(const std::string &name)
    {
        EntryLinkHooks hooks;
        hooks.onLeavingServer = [this](const LeavingServer &it) {
            leaving.push_back(it);
        };
        hooks.timelineReport = [name](const std::string &) {
            return "{\"process\":\"" + name + "\"}";
        };
        hooks.config.provideDelta = [this](std::uint64_t after) -> std::optional<std::string> {
            if (after < firstKept) {
                return std::nullopt;
            }
            return "delta after " + std::to_string(after);
        };
        hooks.config.provideFold = [this]() -> std::optional<std::string> {
            return link->configOffset() == 0 ? std::optional<std::string>() : "fold";
        };
        hooks.config.apply = [this](const ConfigTransfer &it) {
            applied.push_back(it);
            return true;
        };
        return hooks;
    }

    net::HttpServer server;
    std::unique_ptr<EntryLink> link;
    std::string address;
    std::vector<LeavingServer> leaving;
    std::vector<ConfigTransfer> applied;
    std::uint64_t firstKept = 0;
};

/// Runs the event loop until @p done returns true. Has no timeout of its own: the test runner's applies.
void waitUntil(const std::function<bool()> &done)
{
    while (!done()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
}

bool knowsAll(const Node &node, std::size_t n)
{
    return node.link->membership().usableMembers().size() == n;
}

} // namespace

TEST_CASE("entry VMs find each other by seeds and gossip that a backend server is leaving")
{
    Node a(1);
    Node b(2, "s3cret", {a.address});
    Node c(3, "s3cret", {a.address});
    waitUntil([&] {
        return knowsAll(a, 3) && knowsAll(b, 3) && knowsAll(c, 3);
    });
    b.link->announce(LeavingServer{"10.0.0.9:80", 4});
    waitUntil([&] {
        return a.leaving.size() == 1 && c.leaving.size() == 1;
    });
    CHECK(c.leaving.front() == LeavingServer{"10.0.0.9:80", 4});
    c.link->leave();
    waitUntil([&] {
        return knowsAll(a, 2) && knowsAll(b, 2);
    });
    CHECK(a.link->membership().find("entry-3")->state() == MemberState::Leaving);
    CHECK(a.link->controlBytes() > 0);
}

TEST_CASE("configuration is fetched from a peer with a higher offset, as records or as a fold, and never from one with a lower offset")
{
    Node a(1);
    Node b(2, "s3cret", {a.address});
    waitUntil([&] {
        return knowsAll(a, 2) && knowsAll(b, 2);
    });
    a.link->setConfigOffset(10);
    waitUntil([&] {
        return b.link->configOffset() == 10;
    });
    REQUIRE(b.applied.size() == 1);
    CHECK(b.applied[0].text == "delta after 0");
    a.firstKept = 20;
    a.link->setConfigOffset(30);
    waitUntil([&] {
        return b.link->configOffset() == 30;
    });
    CHECK(b.applied[1].isFold);
    b.link->setConfigOffset(40);
    waitUntil([&] {
        return a.link->configOffset() == 40;
    });
    bool answered = false;
    b.link->fetchFold([&answered](bool adopted) {
        CHECK_FALSE(adopted);
        answered = true;
    });
    waitUntil([&] {
        return answered;
    });
    CHECK(b.applied.size() == 2);
    CHECK(b.link->configOffset() == 40);
}

TEST_CASE("a new entry VM adopts the fold of a peer when another peer is unreachable")
{
    Node a(1);
    a.link->setConfigOffset(10);
    Node b(2);
    b.link->setListedVms({{"entry-1", a.address, "zone-1", "region-1", false}, {"entry-9", "127.0.0.1:1", "zone-1", "region-1", false}});
    bool adopted = false;
    b.link->fetchFold([&adopted](bool it) {
        adopted = it;
    });
    waitUntil([&] {
        return b.link->configOffset() == 10;
    });
    CHECK_FALSE(b.applied.empty());
}

TEST_CASE("a call with a wrong fleet secret is refused")
{
    Node a(1);
    Node b(2, "other", {a.address});
    const PeerCuts cuts;
    PeerClient client(sharedClient(), cuts, {.name = "entry-2", .fleetSecret = "other"});
    std::optional<EntryError> error;
    client.call({"entry-1", a.address, "gossip", "{}"}, [&error](const EntryResult<std::string> &result) {
        error = result.error();
    });
    waitUntil([&] {
        return error.has_value();
    });
    CHECK(*error == EntryError::Unauthorized);
    CHECK(knowsAll(a, 1));
}

TEST_CASE("a forwarded claim returns the owner's result, or an error when the owner refuses it or is unreachable")
{
    Node a(1);
    Node b(2, "s3cret", {a.address});
    waitUntil([&] {
        return knowsAll(a, 2) && knowsAll(b, 2);
    });
    std::map<std::string, std::optional<EntryResult<std::string>>> results;
    const auto forward = [&](const std::string &claim) {
        a.link->claims().forward("entry-2", claim, [&results, claim](const EntryResult<std::string> &result) {
            results[claim] = result;
        });
        waitUntil([&] {
            return results[claim].has_value();
        });
        const EntryResult<std::string> &result = *results[claim];
        return result ? result.value() : std::string(toText(result.error()));
    };
    CHECK(forward("early") == "refused");
    b.link->claims().setClaimHandler([&b](const std::string &claim, std::function<void(const std::string &)> reply) {
        QTimer::singleShot(0, b.link.get(), [claim, reply = std::move(reply)] {
            reply("first: " + claim);
        });
        return true;
    });
    CHECK(forward("order") == "first: order");
    a.link->setCuts({{"entry-2"}, false});
    CHECK(forward("cut") == "unreachable");
    CHECK(a.link->claims().pendingForwards() == 0);
}

TEST_CASE("a peer behind a network partition is marked dead, listed as unreachable by the timeline and rejoins afterwards")
{
    Node a(1);
    Node b(2, "s3cret", {a.address});
    Node c(3, "s3cret", {a.address});
    waitUntil([&] {
        return knowsAll(a, 3) && knowsAll(b, 3) && knowsAll(c, 3);
    });
    a.link->setCuts({{"entry-3"}, false});
    b.link->setCuts({{"entry-3"}, false});
    waitUntil([&] {
        return a.link->membership().find("entry-3")->state() == MemberState::Dead;
    });
    std::optional<TimelineCollection> collection;
    a.link->collectTimeline("{}", [&collection](const TimelineCollection &it) {
        collection = it;
    });
    waitUntil([&] {
        return collection.has_value();
    });
    CHECK(collection->reports.size() == 2);
    CHECK(collection->unreachable == std::vector<std::string>{"entry-3"});
    a.link->setCuts({});
    b.link->setCuts({});
    waitUntil([&] {
        return knowsAll(a, 3) && knowsAll(b, 3) && knowsAll(c, 3);
    });
}
