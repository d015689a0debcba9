#include "auburndrum/gateway/relaymessages.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace auburndrum::gateway {

namespace {

using decision::EntryVm;
using nlohmann::json;

json jsonOf(const EntryVm &vm)
{
    return {{"name", vm.name}, {"address", vm.address}, {"zone", vm.zone}, {"link_mbit", vm.linkMegabits}};
}

EntryVm vmOf(const json &object)
{
    return {object.at("name").get<std::string>(),
            object.at("address").get<std::string>(),
            object.at("zone").get<std::string>(),
            object.at("link_mbit").get<double>()};
}

json jsonOf(const RecordBatch &batch)
{
    json records = json::array();
    for (const StoreRecord &it : batch.records) {
        json value; // null: the key was dropped
        if (it.value) {
            value = it.value->toBase64().toStdString();
        }
        records.push_back({it.offset, it.key, std::move(value)});
    }
    return {{"next", batch.nextOffset}, {"age_ms", batch.age.count()}, {"records", std::move(records)}};
}

RecordBatch batchOf(const json &object)
{
    RecordBatch batch;
    batch.nextOffset = object.at("next").get<std::uint64_t>();
    batch.age = std::chrono::milliseconds(object.at("age_ms").get<std::int64_t>());
    for (const json &it : object.at("records")) {
        StoreRecord record;
        record.offset = it.at(0).get<std::uint64_t>();
        record.key = it.at(1).get<std::string>();
        if (!it.at(2).is_null()) {
            record.value = QByteArray::fromBase64(QByteArray::fromStdString(it.at(2).get<std::string>()));
        }
        batch.records.push_back(std::move(record));
    }
    return batch;
}

/// Scopes are long and few, so changes refer to them by index in a list.
json jsonOf(const PromptStoreLogEntry &news)
{
    if (!news.update) {
        return {{"store", news.address}, {"lost", true}};
    }
    std::map<std::string, std::size_t> places;
    json scopes = json::array();
    json changes = json::array();
    for (const decision::StoredPromptChange &it : news.update->changes) {
        const auto [place, isNew] = places.try_emplace(it.scope, scopes.size());
        if (isNew) {
            scopes.push_back(it.scope);
        }
        changes.push_back({it.isStored ? 1 : 0, place->second, it.part, it.tokens});
    }
    return {{"store", news.address},
            {"incarnation", news.update->incarnation},
            {"next", news.update->nextChange},
            {"whole", news.update->isSnapshot},
            {"scopes", std::move(scopes)},
            {"changes", std::move(changes)}};
}

PromptStoreLogEntry newsOf(const json &object)
{
    PromptStoreLogEntry news;
    news.address = object.at("store").get<std::string>();
    if (object.value("lost", false)) {
        return news;
    }
    decision::PromptStoreUpdate report;
    report.incarnation = object.at("incarnation").get<std::uint64_t>();
    report.nextChange = object.at("next").get<std::uint64_t>();
    report.isSnapshot = object.at("whole").get<bool>();
    const auto scopes = object.at("scopes").get<std::vector<std::string>>();
    for (const json &it : object.at("changes")) {
        const auto place = it.at(1).get<std::size_t>();
        report.changes.push_back({it.at(0).get<int>() != 0, scopes.at(place), it.at(2).get<std::string>(), it.at(3).get<std::uint32_t>()});
    }
    news.update = std::move(report);
    return news;
}

/// Runs `read` on the parsed text; a message of another form fails with the reason.
template<typename T, typename Read>
Result<T, std::string> parse(const std::string &text, const Read &read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &ec) {
        return failure(std::string(ec.what()));
    } catch (const std::out_of_range &) {
        return failure(std::string("a change names no scope"));
    }
}

} // namespace

std::string toJson(const RelayRequest &question)
{
    const json object
        = {{"from", jsonOf(question.from)}, {"topics", question.topics}, {"kept_log", question.promptStoreLogName}, {"kept_from", question.promptStoreLogFrom}};
    return object.dump();
}

std::string toJson(const RelayResponse &answer)
{
    json topics = json::object();
    for (const auto &[topic, batch] : answer.topics) {
        topics[topic] = jsonOf(batch);
    }
    json news = json::array();
    for (const PromptStoreLogEntry &it : answer.promptStoreLog.entries) {
        news.push_back(jsonOf(it));
    }
    const json object = {{"topics", std::move(topics)},
                         {"follows_stores", answer.followsStores},
                         {"kept_log", answer.promptStoreLog.logName},
                         {"kept_next", answer.promptStoreLog.nextEntry},
                         {"kept", std::move(news)}};
    return object.dump();
}

std::string toJson(const EntryVm &vm)
{
    return jsonOf(vm).dump();
}

Result<RelayRequest, std::string> relayRequestFrom(const std::string &text)
{
    return parse<RelayRequest>(text, [](const json &object) {
        RelayRequest it;
        it.from = vmOf(object.at("from"));
        it.topics = object.at("topics").get<std::map<std::string, std::uint64_t>>();
        it.promptStoreLogName = object.at("kept_log").get<std::string>();
        it.promptStoreLogFrom = object.at("kept_from").get<std::uint64_t>();
        return it;
    });
}

Result<RelayResponse, std::string> relayResponseFrom(const std::string &text)
{
    return parse<RelayResponse>(text, [](const json &object) {
        RelayResponse it;
        for (const auto &[topic, batch] : object.at("topics").items()) {
            it.topics[topic] = batchOf(batch);
        }
        it.followsStores = object.at("follows_stores").get<bool>();
        it.promptStoreLog.logName = object.at("kept_log").get<std::string>();
        it.promptStoreLog.nextEntry = object.at("kept_next").get<std::uint64_t>();
        for (const json &news : object.at("kept")) {
            it.promptStoreLog.entries.push_back(newsOf(news));
        }
        return it;
    });
}

Result<EntryVm, std::string> entryVmFrom(const std::string &text)
{
    return parse<EntryVm>(text, vmOf);
}

} // namespace auburndrum::gateway
