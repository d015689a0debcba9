#include "auburndrum/gateway/relaymessages.h"

#include "auburndrum/base/jsonreader.h"

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
            numberFrom(object.at("link_mbit"))};
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
    return {{"next", batch.nextOffset}, {"era", batch.era}, {"age_ms", batch.age.count()}, {"records", std::move(records)}};
}

RecordBatch batchOf(const json &object)
{
    RecordBatch batch;
    batch.nextOffset = integerFrom<std::uint64_t>(object.at("next"));
    batch.era = integerIn(object, "era", std::uint64_t{0}); // a VM of an earlier version sends none
    batch.age = timeFrom(object.at("age_ms"));
    for (const json &it : object.at("records")) {
        StoreRecord record;
        record.offset = integerFrom<std::uint64_t>(it.at(0));
        record.key = it.at(1).get<std::string>();
        if (!it.at(2).is_null()) {
            record.value = QByteArray::fromBase64(QByteArray::fromStdString(it.at(2).get<std::string>()));
        }
        batch.records.push_back(std::move(record));
    }
    return batch;
}

/// Scopes are long and few, so changes refer to them by index in a list.
json jsonOf(const PromptStoreLogEntry &logEntry)
{
    if (!logEntry.update) {
        return {{"store", logEntry.address}, {"lost", true}};
    }
    std::map<std::string, std::size_t> indexOfScope;
    json scopes = json::array();
    json changes = json::array();
    for (const decision::StoredPromptChange &it : logEntry.update->changes) {
        const auto [knownScope, isNew] = indexOfScope.try_emplace(it.scope, scopes.size());
        if (isNew) {
            scopes.push_back(it.scope);
        }
        changes.push_back({it.isStored ? 1 : 0, knownScope->second, it.part, it.tokens});
    }
    return {{"store", logEntry.address},
            {"incarnation", logEntry.update->incarnation},
            {"next", logEntry.update->nextChange},
            {"whole", logEntry.update->isSnapshot},
            {"scopes", std::move(scopes)},
            {"changes", std::move(changes)}};
}

PromptStoreLogEntry logEntryOf(const json &object)
{
    PromptStoreLogEntry logEntry;
    logEntry.address = object.at("store").get<std::string>();
    if (object.value("lost", false)) {
        return logEntry;
    }
    decision::PromptStoreUpdate update;
    update.incarnation = integerFrom<std::uint64_t>(object.at("incarnation"));
    update.nextChange = integerFrom<std::uint64_t>(object.at("next"));
    update.isSnapshot = object.at("whole").get<bool>();
    const auto scopes = object.at("scopes").get<std::vector<std::string>>();
    for (const json &it : object.at("changes")) {
        const auto scopeIndex = integerFrom<std::size_t>(it.at(1));
        update.changes.push_back({integerFrom<int>(it.at(0)) != 0, scopes.at(scopeIndex), it.at(2).get<std::string>(), integerFrom<std::uint32_t>(it.at(3))});
    }
    logEntry.update = std::move(update);
    return logEntry;
}

/// Runs `read` on the parsed text; a message of another form fails with the reason.
template<typename T, typename Read>
Result<T, std::string> parse(const std::string &text, const Read &read)
{
    try {
        return read(parseJson(text));
    } catch (const json::exception &ec) {
        return failure(std::string(ec.what()));
    } catch (const std::out_of_range &) {
        return failure(std::string("a change names no scope"));
    }
}

} // namespace

std::string toJson(const RelayRequest &request)
{
    const json object
        = {{"from", jsonOf(request.from)}, {"topics", request.topics}, {"kept_log", request.promptStoreLogName}, {"kept_from", request.promptStoreLogFrom}};
    return object.dump();
}

std::string toJson(const RelayResponse &response)
{
    json topics = json::object();
    for (const auto &[topic, batch] : response.topics) {
        topics[topic] = jsonOf(batch);
    }
    json entries = json::array();
    for (const PromptStoreLogEntry &it : response.promptStoreLog.entries) {
        entries.push_back(jsonOf(it));
    }
    const json object = {{"topics", std::move(topics)},
                         {"follows_stores", response.followsStores},
                         {"kept_log", response.promptStoreLog.logName},
                         {"kept_next", response.promptStoreLog.nextEntry},
                         {"kept", std::move(entries)}};
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
        for (const auto &[topic, offset] : object.at("topics").items()) {
            it.topics[topic] = integerFrom<std::uint64_t>(offset);
        }
        it.promptStoreLogName = object.at("kept_log").get<std::string>();
        it.promptStoreLogFrom = integerFrom<std::uint64_t>(object.at("kept_from"));
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
        it.promptStoreLog.nextEntry = integerFrom<std::uint64_t>(object.at("kept_next"));
        for (const json &entry : object.at("kept")) {
            it.promptStoreLog.entries.push_back(logEntryOf(entry));
        }
        return it;
    });
}

Result<EntryVm, std::string> entryVmFrom(const std::string &text)
{
    return parse<EntryVm>(text, vmOf);
}

} // namespace auburndrum::gateway
