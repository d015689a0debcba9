#include "auburndrum/gateway/relaylink.h"

#include "auburndrum/base/randomid.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using decision::EntryVm;
using std::chrono::milliseconds;

constexpr milliseconds RetryPause{1000}; // of registering and of reading the directory; the fleet works without, at a higher price
constexpr qint64 MaxQuestionBytes = 16 * 1024; // some topics and names

milliseconds since(Instant moment)
{
    return std::chrono::ceil<milliseconds>(suspendAwareNow() - moment);
}

net::HttpServerOptions peerOptions()
{
    net::HttpServerOptions it;
    it.maxBodyBytes = MaxQuestionBytes;
    return it;
}

} // namespace

RelayLink::RelayLink(RelayLinkOptions options, GatewayState &state, RecordStore store, RelayLinkHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_state(state)
    , m_store(std::move(store))
    , m_hooks(std::move(hooks))
    , m_directory({.vm = m_options.self.name, .regionOfZone = m_options.regionOfZone})
    , m_topics({})
    , m_keptLog(m_options.self.name + "/" + randomId(), state.kept)
    , m_peers(state.client,
              m_noCuts,
              {.name = m_options.self.name, .fleetSecret = {}, .connectTimeout = m_options.connectTimeout, .answerTimeout = m_options.answerTimeout})
    , m_peerServer({}, m_noCuts)
    , m_server(peerOptions(), [this](const std::shared_ptr<net::Exchange> &exchange) {
        if (!m_peerServer.handle(exchange)) {
            exchange->respond(404, {}, {});
        }
    })
{
    m_poll.setSingleShot(true);
    connect(&m_poll, &QTimer::timeout, this, &RelayLink::poll);
    m_peerServer.addMethod(RelayMethod, [this](const std::string & /*peer*/, const std::string &question) {
        return answer(question);
    });
}

net::Address RelayLink::start()
{
    if (m_options.topic.empty()) {
        m_knowsDirectory = true;
        update();
        return {};
    }
    net::Address listening = m_server.listenOn(net::parseAddress(m_options.self.address).value_or(net::Address{}));
    m_options.self.address = net::toText(listening);
    m_directory.put(m_options.self);
    registerSelf();
    return listening;
}

void RelayLink::stop()
{
    m_stopped = true;
}

void RelayLink::registerSelf()
{
    const QByteArray value = QByteArray::fromStdString(toJson(m_options.self));
    m_store.put(m_options.topic, m_options.self.name, value, [this](const StoreResult<std::uint64_t> &result) {
        if (!result) {
            m_state.log.write(LineWeight::Notable, "registration_failed", {{"topic", m_options.topic}, {"error", toText(result.error())}});
            QTimer::singleShot(RetryPause, this, &RelayLink::registerSelf);
            return;
        }
        QTimer::singleShot(m_options.directoryDelay, this, [this] {
            readDirectory({});
        });
    });
}

void RelayLink::readDirectory(const std::string &afterKey)
{
    m_store.readNewest(m_options.topic, afterKey, [this](const StoreResult<NewestPage> &page) {
        takeDirectory(page);
    });
}

void RelayLink::takeDirectory(const StoreResult<NewestPage> &page)
{
    if (!page) {
        m_state.log.write(LineWeight::Notable, "directory_unread", {{"topic", m_options.topic}, {"error", toText(page.error())}});
        QTimer::singleShot(RetryPause, this, [this] {
            readDirectory({});
        });
        return;
    }
    for (const StoreRecord &it : page.value().records) {
        const auto vm = entryVmFrom(it.value.value_or(QByteArray()).toStdString());
        if (!vm) {
            m_state.log.write(LineWeight::Notable, "record_skipped", {{"topic", m_options.topic}, {"key", it.key}, {"problem", vm.error()}});
            continue;
        }
        if (vm.value().name != m_options.self.name) {
            m_directory.put(vm.value());
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        readDirectory(page.value().records.back().key);
        return;
    }
    m_knowsDirectory = true;
    m_state.log.write(LineWeight::Notable, "entry_vms", {{"known", m_directory.size()}, {"crowded", isCrowded()}});
    update();
}

RecordStore RelayLink::hooks()
{
    RecordStore it = m_store;
    it.read = [this](const std::string &topic, std::uint64_t from, milliseconds wait, auto done) {
        read(topic, from, wait, std::move(done));
    };
    return it;
}

void RelayLink::read(const std::string &topic, std::uint64_t from, milliseconds wait, std::function<void(StoreResult<RecordBatch>)> done)
{
    if (m_relay.empty() || m_waiting.contains(topic)) {
        readDirectly(topic, from, wait, std::move(done));
        return;
    }
    m_waiting[topic] = {from, suspendAwareNow() + wait, std::move(done)};
}

void RelayLink::readDirectly(const std::string &topic, std::uint64_t from, milliseconds wait, std::function<void(StoreResult<RecordBatch>)> done)
{
    const milliseconds longest = isCrowded() ? std::min(wait, m_options.longestRead) : wait;
    m_store.read(topic, from, longest, [this, topic, from, done = std::move(done)](const StoreResult<RecordBatch> &result) {
        if (result) {
            m_topics.take(topic, from, result.value(), suspendAwareNow());
        }
        done(result);
    });
}

void RelayLink::readWaitingDirectly()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[topic, it] : waiting) {
        const auto left = std::chrono::floor<milliseconds>(it.until - suspendAwareNow());
        readDirectly(topic, it.from, std::max(left, milliseconds(0)), it.done);
    }
}

void RelayLink::configure()
{
    const auto stores = m_state.kept.addresses();
    const bool hasUnknown = std::any_of(stores.begin(), stores.end(), [this](const std::string &it) {
        return !m_state.kept.snapshot(it);
    });
    if (hasUnknown) {
        m_otherLog.clear(); // the relay may have told of a new prompt store before this VM's configuration named it
    }
    update();
}

bool RelayLink::isCrowded() const
{
    std::size_t allowed = m_options.allowedReaders;
    if (m_state.configuration) {
        for (const decision::PromptStoreTraits &it : m_state.configuration->promptStores) {
            if (it.maxReaders > 0) {
                allowed = std::min<std::size_t>(allowed, it.maxReaders);
            }
        }
    }
    return m_directory.exceedsReaderLimit(allowed);
}

bool RelayLink::isRelayed() const
{
    return !m_relay.empty() && m_isFresh && since(m_answeredAt) <= m_options.maxAge;
}

void RelayLink::update()
{
    if (!m_knowsDirectory) {
        return; // whether the prompt stores have a place for this VM is not known yet
    }
    if (!isCrowded()) {
        setRelay({}, "few entry VMs");
        setFollowsStores(true);
        return;
    }
    if (!m_poll.isActive() && !m_asking) {
        m_poll.start(m_options.pollInterval);
    }
}

void RelayLink::poll()
{
    if (m_asking) {
        return;
    }
    if (!isCrowded()) {
        update();
        return;
    }
    const auto relay = m_directory.chooseRelay(suspendAwareNow());
    if (!relay) {
        setRelay({}, "no other entry VM to ask");
        setFollowsStores(true);
        m_poll.start(m_options.pollInterval);
        return;
    }
    ask(*relay);
}

void RelayLink::ask(const EntryVm &relay)
{
    RelayQuestion question;
    question.from = m_options.self;
    for (const auto &[topic, it] : m_waiting) {
        question.topics[topic] = it.from;
    }
    question.keptLog = m_otherLog;
    question.keptFrom = m_otherNext;
    m_asking = true;
    const Instant askedAt = suspendAwareNow();
    m_peers.call({relay.name, relay.address, RelayMethod, toJson(question)}, [this, relay, question, askedAt](const entry::EntryResult<std::string> &result) {
        m_asking = false;
        if (!result) {
            relayFailed(relay, entry::toText(result.error()));
        } else if (const auto answer = relayAnswerFrom(result.value()); !answer) {
            relayFailed(relay, answer.error());
        } else if (!answer.value().followsStores) {
            relayFailed(relay, "reads nothing itself");
        } else {
            takeAnswer(relay, question, answer.value(), askedAt);
        }
        m_poll.start(m_options.pollInterval);
    });
}

void RelayLink::takeAnswer(const EntryVm &relay, const RelayQuestion &question, const RelayAnswer &answer, Instant askedAt)
{
    m_directory.recordSuccess(relay.name);
    m_answeredAt = suspendAwareNow();
    setRelay(relay.name, "answers");
    setFollowsStores(false);
    takeTopics(question, answer, askedAt);
    m_otherLog = answer.kept.log;
    m_otherNext = answer.kept.next;
    for (const KeptNews &it : answer.kept.news) {
        m_hooks.onKept(it);
    }
}

void RelayLink::takeTopics(const RelayQuestion &question, const RelayAnswer &answer, Instant askedAt)
{
    if (question.topics.empty()) {
        return; // the reads under way were direct ones, which says nothing new of the relay
    }
    const auto waiting = std::exchange(m_waiting, {});
    bool isFresh = true;
    for (const auto &[topic, it] : waiting) {
        if (!question.topics.contains(topic)) {
            m_waiting.try_emplace(topic, it); // began since; the next answer tells
            continue;
        }
        const auto told = answer.topics.find(topic);
        const bool isTold = told != answer.topics.end() && told->second.age + since(askedAt) <= m_options.maxAge;
        if (!isTold) {
            // The relay is cut from the store, or has not read so far back.
            isFresh = false;
            const auto left = std::chrono::floor<milliseconds>(it.until - suspendAwareNow());
            readDirectly(topic, it.from, std::max(left, milliseconds(0)), it.done);
            continue;
        }
        RecordBatch batch = told->second;
        batch.age += since(askedAt);
        if (batch.records.empty() && suspendAwareNow() < it.until) {
            m_waiting.try_emplace(topic, it);
            continue;
        }
        it.done(batch);
    }
    m_isFresh = isFresh;
}

void RelayLink::relayFailed(const EntryVm &relay, const std::string &reason)
{
    m_directory.recordFailure(relay.name, suspendAwareNow());
    m_state.log.write(LineWeight::Notable, "dependency_lost", {{"dependency", "relay"}, {"relay", relay.name}, {"address", relay.address}, {"error", reason}});
    setRelay({}, "relay lost");
}

void RelayLink::setRelay(const std::string &name, const std::string &reason)
{
    if (m_relay == name) {
        return;
    }
    m_state.log.write(LineWeight::Notable, "relay", {{"relay", name}, {"before", m_relay}, {"reason", reason}, {"known", m_directory.size()}});
    m_state.metrics.beliefChanges.with({"relay"}).Increment();
    m_relay = name;
    if (m_relay.empty()) {
        m_isFresh = false;
        readWaitingDirectly();
    }
}

void RelayLink::setFollowsStores(bool follows)
{
    if (m_followsStores == follows) {
        return;
    }
    m_followsStores = follows;
    m_hooks.onFollowStores(follows);
}

} // namespace auburndrum::gateway
