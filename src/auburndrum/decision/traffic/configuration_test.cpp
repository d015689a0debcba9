#include "auburndrum/decision/traffic/configuration.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;

namespace {

Route route(std::string name, std::string host, std::string prefix)
{
    Route it;
    it.name = std::move(name);
    it.host = std::move(host);
    it.pathPrefix = std::move(prefix);
    it.targets = {{"service", 1}};
    return it;
}

Configuration configuration()
{
    Configuration it;
    it.routes = {route("all", "a.example", "/"),
                 route("menus", "a.example", "/menus/"),
                 route("weekly", "a.example", "/menus/weekly/"),
                 route("b", "b.example", "/menus/")};
    it.indexRoutes();
    return it;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix of the host is found")
{
    const Configuration it = configuration();
    CHECK(it.findRoute("a.example", "/menus/weekly/7")->name == "weekly");
    CHECK(it.findRoute("a.example", "/menus/daily")->name == "menus");
    CHECK(it.findRoute("a.example", "/orders")->name == "all");
    CHECK(it.findRoute("b.example", "/menus/weekly/7")->name == "b");
}

TEST_CASE("a path outside all prefixes, or another host, has no route")
{
    const Configuration it = configuration();
    CHECK(it.findRoute("b.example", "/orders/") == nullptr);
    CHECK(it.findRoute("b.example", "/menus") == nullptr);
    CHECK(it.findRoute("c.example", "/") == nullptr);
}

TEST_CASE("only a configured API key finds an organisation")
{
    Configuration it;
    it.organisations = {{"kattila", {}, false}, {"poyta", 1, true}};
    it.organisationByKey["key-1"] = 0;
    it.organisationByKey["key-2"] = 1;
    CHECK(it.findOrganisation("key-2")->name == "poyta");
    CHECK(it.findOrganisation("key-1")->name == "kattila");
    CHECK(it.findOrganisation("") == nullptr);
    CHECK(it.findOrganisation("key-3") == nullptr);
}

TEST_CASE("only safe requests and resumable streams are repeatable")
{
    Route it;
    it.kind = RequestKind::Safe;
    CHECK(it.isRepeatable());
    it.kind = RequestKind::Unsafe;
    CHECK_FALSE(it.isRepeatable());
    it.kind = RequestKind::Streaming;
    CHECK_FALSE(it.isRepeatable());
    it.isResumable = true;
    CHECK(it.isRepeatable());
}
