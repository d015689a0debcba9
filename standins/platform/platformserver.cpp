#include "standins/platform/platformserver.h"

#include "standins/platform/vmjson.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char VmsPath[] = "/v1/vms";
constexpr char WeightsPath[] = "/v1/weights/";
constexpr std::size_t MaxReadRecords = 10'000;
constexpr std::chrono::milliseconds MaxWait{60'000};

nlohmann::json pageJson(const LogPage &page)
{
    nlohmann::json records = nlohmann::json::array();
    for (const LogRecord &it : page.records) {
        records.push_back({{"offset", it.offset}, {"time_ms", it.time.time_since_epoch().count()}, {"value", it.value}});
    }
    return {{"first", page.first}, {"next", page.next}, {"records", records}};
}

std::uint64_t numberQuery(const Reply &reply, const char *name, std::uint64_t absent)
{
    const QByteArray text = reply.request().query(name);
    return text.isEmpty() ? absent : text.toULongLong();
}

} // namespace

PlatformServer::PlatformServer(const PlatformOptions &options)
    : m_log(options.log)
    , m_vms(options.vmLag)
    , m_weights(options.weights)
    , m_standIn({},
                {[this](const std::shared_ptr<Reply> &reply) {
                     handle(reply);
                 },
                 {}})
{
    m_loadTimer.setSingleShot(true);
    m_loadTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_loadTimer, &QTimer::timeout, &m_loadTimer, [this] {
        finishLoads();
    });
}

StandIn &PlatformServer::standIn()
{
    return m_standIn;
}

void PlatformServer::handle(const std::shared_ptr<Reply> &reply)
{
    const QByteArray path = reply->request().path();
    const QByteArray &method = reply->request().method();
    if (path == "/v1/log/records" && method == "POST") {
        handleAppend(*reply);
    } else if (path == "/v1/log/records" && method == "GET") {
        handleRead(reply);
    } else if (path.startsWith(VmsPath)) {
        handleVms(*reply);
    } else if (path.startsWith(WeightsPath) && method == "GET") {
        handleWeights(reply);
    } else {
        reply->respondError(404, "not_found", "no such call");
    }
}

void PlatformServer::handleAppend(Reply &reply)
{
    const nlohmann::json body = nlohmann::json::parse(reply.request().body().toStdString(), nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body["value"].is_string()) {
        reply.respondError(400, "bad_record", "want {\"value\":TEXT}");
        return;
    }
    const LogResult<std::uint64_t> offset = m_log.append(body["value"].get<std::string>(), monotonicNow(), wallNow());
    if (!offset) {
        reply.respondError(429, "rate_limited", "too many appends", {{"Retry-After", "1"}});
        return;
    }
    reply.respondJson(200, {{"offset", offset.value()}});
    answerWaitingReads();
}

void PlatformServer::handleRead(const std::shared_ptr<Reply> &reply)
{
    WaitingRead read;
    read.reply = reply;
    read.from = numberQuery(*reply, "from", 1);
    read.limit = std::min<std::uint64_t>(numberQuery(*reply, "limit", 1000), MaxReadRecords);
    const std::chrono::milliseconds wait(numberQuery(*reply, "wait_ms", 0));
    if (wait.count() == 0 || read.from < m_log.bounds().next) {
        answerRead(read);
        return;
    }
    const auto it = m_waitingReads.insert(m_waitingReads.end(), read);
    const Reply *waiting = it->reply.get();
    QTimer::singleShot(std::min(wait, MaxWait), [this, waiting] {
        const auto found = std::find_if(m_waitingReads.begin(), m_waitingReads.end(), [&](const WaitingRead &each) {
            return each.reply.get() == waiting;
        });
        if (found == m_waitingReads.end()) {
            return;
        }
        const WaitingRead due = *found;
        m_waitingReads.erase(found);
        answerRead(due);
    });
}

void PlatformServer::answerRead(const WaitingRead &read)
{
    const LogResult<LogPage> page = m_log.read(read.from, read.limit, wallNow());
    if (!page) {
        const LogPage bounds = m_log.bounds();
        read.reply->respondJson(410, {{"first", bounds.first}, {"next", bounds.next}});
        return;
    }
    read.reply->respondJson(200, pageJson(page.value()));
}

void PlatformServer::answerWaitingReads()
{
    const std::list<WaitingRead> due = std::exchange(m_waitingReads, {});
    for (const WaitingRead &it : due) {
        if (it.from >= m_log.bounds().next) {
            m_waitingReads.push_back(it);
            continue;
        }
        answerRead(it);
    }
}

void PlatformServer::handleVms(Reply &reply)
{
    const QByteArray path = reply.request().path();
    const QByteArray &method = reply.request().method();
    const std::string name = path.mid(static_cast<int>(sizeof(VmsPath))).toStdString();
    if (method == "GET") {
        reply.respondJson(200, vmListJson(m_vms.visible(monotonicNow())));
        return;
    }
    if (method == "DELETE" && !name.empty()) {
        m_vms.remove(name, monotonicNow());
        reply.respondEmpty();
        return;
    }
    const std::optional<VmRecord> vm = parseVm(name, reply.request().body().toStdString());
    if (method != "PUT" || name.empty() || !vm) {
        reply.respondError(400, "bad_vm", "want PUT /v1/vms/NAME with one VM");
        return;
    }
    m_vms.put(*vm, monotonicNow());
    reply.respondEmpty();
}

void PlatformServer::handleWeights(const std::shared_ptr<Reply> &reply)
{
    finishLoads();
    m_loads[m_weights.start(monotonicNow())] = reply;
    scheduleLoads();
}

void PlatformServer::finishLoads()
{
    for (const std::uint64_t load : m_weights.advance(monotonicNow())) {
        const auto it = m_loads.find(load);
        const QByteArray version = it->second->request().path().mid(static_cast<int>(sizeof(WeightsPath) - 1));
        it->second->respondJson(200, {{"version", version.toStdString()}});
        m_loads.erase(it);
    }
    scheduleLoads();
}

void PlatformServer::scheduleLoads()
{
    const std::optional<Instant> next = m_weights.nextFinish();
    if (!next) {
        m_loadTimer.stop();
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - monotonicNow());
    m_loadTimer.start(std::max(wait, std::chrono::milliseconds(0)));
}

} // namespace auburndrum::standins
