#include "documents.h"

#include "auburndrum/base/apikey.h"
#include "auburndrum/decision/logrecord.h"

#include <nlohmann/json.hpp>

namespace auburndrum::tests {

namespace {

using nlohmann::json;

const std::vector<std::string> Organisations{"kattila", "poyta"};

std::string apiKey(const std::string &organisation)
{
    return organisation + "." + organisation + "-key";
}

json grants()
{
    json out = json::array();
    for (const std::string &it : Organisations) {
        out.push_back({{"name", it}});
    }
    return out;
}

json organisation(const std::string &name)
{
    return {{"document", "organisation"}, {"name", name}, {"key_hashes", {hashApiKey(apiKey(name))}}};
}

json menu()
{
    return {{"document", "service"},
            {"name", "menu"},
            {"owner_team", "menus"},
            {"kind", "engine"},
            {"weight_version", "v1"},
            {"organisations", grants()},
            {"first_token_deadline_ms", 5000},
            {"token_gap_limit_ms", 1000}};
}

json plainService(const std::string &name, const std::string &lookupPath)
{
    return {{"document", "service"},
            {"name", name},
            {"owner_team", "kitchens"},
            {"kind", "plain"},
            {"organisations", grants()},
            {"first_token_deadline_ms", 5000},
            {"request_timeout_ms", 10000},
            {"repeatable", false},
            {"lookup_path", lookupPath}};
}

std::string entryOf(const json &document)
{
    const std::string name = document.at("document").get<std::string>() + "/" + document.at("name").get<std::string>();
    decision::PublishRecord record;
    record.document = name;
    record.body = document.dump();
    record.requestId = "publish " + name;
    record.author = "test";
    return decision::encodeEntry({record});
}

} // namespace

std::vector<std::string> documentEntries()
{
    std::vector<std::string> out;
    out.reserve(Organisations.size() + 3);
    for (const std::string &it : Organisations) {
        out.push_back(entryOf(organisation(it)));
    }
    out.push_back(entryOf(menu()));
    out.push_back(entryOf(plainService("ordering", "/v1/lookup")));
    out.push_back(entryOf(plainService("ledger", "")));
    return out;
}

QByteArray authorization(const std::string &organisation)
{
    return "Bearer " + QByteArray::fromStdString(apiKey(organisation));
}

} // namespace auburndrum::tests
