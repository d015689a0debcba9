#include "auburndrum/gateway/keptreader.h"

#include "auburndrum/decision/traffic/cachescope.h"

#include <algorithm>

namespace auburndrum::gateway {

KeptReader::KeptReader(KeptReaderOptions options, GatewayState &state, const EngineControl &engines, KeptReaderHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(options)
    , m_state(state)
    , m_engines(engines)
    , m_hooks(std::move(hooks))
{
    connect(&m_freeTimer, &QTimer::timeout, this, &KeptReader::freeStale);
}

void KeptReader::configure()
{
    const std::vector<std::string> addresses = m_state.kept.addresses();
    std::erase_if(m_followed, [&](const auto &it) {
        return std::find(addresses.begin(), addresses.end(), it.first) == addresses.end();
    });
    for (const std::string &it : addresses) {
        const auto [followed, isNew] = m_followed.try_emplace(it);
        if (!isNew) {
            continue;
        }
        followed->second.round = ++m_rounds;
        if (m_isAsking) {
            ask(it);
        }
    }
    if (!m_followed.empty() && !m_freeTimer.isActive()) {
        m_freeTimer.start(m_options.freeInterval);
    }
}

void KeptReader::setAsking(bool isAsking)
{
    if (m_isAsking == isAsking) {
        return;
    }
    m_isAsking = isAsking;
    for (auto &[address, followed] : m_followed) {
        followed.round = ++m_rounds; // answers under way are dropped
        followed.pause = std::chrono::milliseconds(0);
        if (isAsking) {
            ask(address);
        }
    }
}

void KeptReader::take(const KeptNews &news)
{
    const auto it = m_followed.find(news.address);
    if (it == m_followed.end() || m_isAsking) {
        return; // of another configuration, or older than what was read here
    }
    if (!news.report) {
        m_state.kept.markUnreachable(news.address);
        return;
    }
    it->second.incarnation = news.report->incarnation;
    it->second.since = news.report->nextChange;
    m_state.kept.applyUpdate(news.address, *news.report);
}

void KeptReader::ask(const std::string &address)
{
    const auto followed = m_followed.find(address);
    if (followed == m_followed.end()) {
        return;
    }
    const std::uint64_t round = followed->second.round;
    followed->second.askedAt = monotonicNow();
    m_engines.readKeptChanges(address, followed->second.since, m_options.wait, [this, address, round](const KeptAnswer &report) {
        take(address, round, report);
    });
}

void KeptReader::askAll(const std::string &address)
{
    const std::uint64_t round = m_followed.at(address).round;
    m_engines.readKept(address, [this, address, round](const KeptAnswer &report) {
        take(address, round, report);
    });
}

void KeptReader::take(const std::string &address, std::uint64_t round, const KeptAnswer &answer)
{
    const auto it = m_followed.find(address);
    if (it == m_followed.end() || it->second.round != round) {
        return;
    }
    Followed &followed = it->second;
    if (!answer) {
        m_state.kept.markUnreachable(address);
        if (m_hooks.onLost) {
            m_hooks.onLost(address);
        }
        askAgain(address, followed, answer.error());
        return;
    }
    const decision::PromptStoreUpdate *report = &answer.value();
    followed.pause = std::chrono::milliseconds(0);
    if (followed.isLost) {
        followed.isLost = false;
        m_state.log.write(LineWeight::Notable, "dependency_regained", {{"dependency", "prompt store"}, {"address", address}});
    }
    const bool isOtherIncarnation = followed.incarnation != 0 && followed.incarnation != report->incarnation;
    followed.incarnation = report->incarnation;
    if (!report->isSnapshot && (report->hasGap || isOtherIncarnation)) {
        m_state.kept.markUnreachable(address); // until all that it holds is read again
        askAll(address);
        return;
    }
    followed.since = report->nextChange;
    m_state.kept.applyUpdate(address, *report);
    if (m_hooks.onReport) {
        m_hooks.onReport(address, *report);
    }
    const auto sinceAsked = std::chrono::floor<std::chrono::milliseconds>(monotonicNow() - followed.askedAt);
    askSoon(address, std::max(m_options.askInterval - sinceAsked, std::chrono::milliseconds(0)));
}

void KeptReader::askSoon(const std::string &address, std::chrono::milliseconds pause)
{
    QTimer::singleShot(pause, this, [this, address, round = m_followed.at(address).round] {
        const auto it = m_followed.find(address);
        if (it != m_followed.end() && it->second.round == round) {
            ask(address);
        }
    });
}

void KeptReader::askAgain(const std::string &address, Followed &followed, KeptError error)
{
    const bool isBusy = error == KeptError::TooManyReaders;
    if (!followed.isLost) {
        followed.isLost = true;
        m_state.log.write(LineWeight::Notable,
                          "dependency_lost",
                          {{"dependency", "prompt store"}, {"address", address}, {"error", isBusy ? "too many readers" : "no answer"}});
    }
    auto pause = m_options.retryPause;
    if (isBusy) {
        followed.pause = std::clamp(followed.pause * 2, m_options.busyPause, m_options.maxBusyPause);
        // Spread, so that those who were refused together don't come back together.
        pause = followed.pause + std::chrono::milliseconds(absl::Uniform<std::int64_t>(m_state.random, 0, followed.pause.count()));
    }
    askSoon(address, pause);
}

bool KeptReader::isStale(std::string_view scope) const
{
    for (const auto &[model, named] : m_state.weights) {
        const auto version = decision::weightVersionOfScope(scope, model);
        if (!version || *version >= named.newestVersion()) {
            continue;
        }
        // An engine that still has the old weights may be reading the part.
        for (const std::string &id : m_state.servers.ids()) {
            const auto &versions = m_state.servers.find(id)->server.weightVersions;
            const auto has = versions.find(model);
            if (has != versions.end() && has->second <= *version) {
                return false;
            }
        }
        return true;
    }
    return false;
}

void KeptReader::freeStale()
{
    if (!m_isAsking) {
        return; // whoever follows the stores does it
    }
    const Instant now = monotonicNow();
    const auto isFreeable = [this, now](std::string_view scope) {
        if (!isStale(scope)) {
            return false;
        }
        const auto [since, isNew] = m_staleSince.try_emplace(std::string(scope), now);
        return now - since->second >= m_options.freeDelay;
    };
    for (const auto &[address, followed] : m_followed) {
        const auto parts = m_state.kept.staleParts(address, isFreeable, m_options.freeAtOnce);
        if (parts.empty() || followed.isLost) {
            continue;
        }
        m_engines.freeKept(address, followed.incarnation, parts, [this, address = address, parts, incarnation = followed.incarnation](bool isDone) {
            m_state.log.write(LineWeight::Notable, "old_prompts_freed", {{"address", address}, {"parts", parts.size()}, {"done", isDone}});
            if (!isDone) {
                return;
            }
            // Some changes are never told; without this, parts that went unnoticed would be freed again and again.
            m_state.kept.removeFreed(address, incarnation, parts);
            const auto it = m_followed.find(address);
            if (m_hooks.onReport && it != m_followed.end() && it->second.incarnation == incarnation) {
                m_hooks.onReport(address, {.incarnation = incarnation, .nextChange = it->second.since, .changes = parts});
            }
        });
    }
}

} // namespace auburndrum::gateway
