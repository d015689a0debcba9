#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/gateway/recordstore.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <set>

namespace auburndrum::gateway {

/// Options of a KeyedFeed.
struct KeyedFeedOptions
{
    std::string topic;
    /// A read without news ends after it, so that a silent connection shows: within the 4 s after which the platform counts a VM as calm again.
    std::chrono::milliseconds longRead{3000};
    /// Between two reads; news that come together are read together, as each call has its price. Grows with the keys, since more of them change at
    /// once in a larger fleet, up to a fraction of the 2.5 s in which a change must be in force.
    std::chrono::milliseconds readInterval{150};
    std::chrono::milliseconds intervalPerKey{5};
    std::chrono::milliseconds maxInterval{500};
    std::chrono::milliseconds firstPause{50}; ///< before a failed call is made again; doubles up to maxPause
    std::chrono::milliseconds maxPause{800}; ///< short against the bounds on configurations and drains, which count from the store's return
    std::chrono::milliseconds outageAfter{1500}; ///< without a good answer for so long the store counts as away
    std::chrono::milliseconds outageEcho{3000}; ///< removals so soon after an outage may be lapsed entries of living servers
};

/// What a KeyedFeed tells.
struct KeyedFeedHooks
{
    /// The newest value of a key; nothing when the key was dropped. `duringOutage`: the store was away just before.
    std::function<void(const std::string &key, const std::optional<QByteArray> &value, bool duringOutage)> onChange;
    std::function<void()> onSynced; ///< everything that the store held at one moment has been told
    std::function<void(StoreError)> onLost; ///< the store doesn't answer
    std::function<void()> onRegained;
};

/// @brief Follows the newest value of each key of one topic, and never goes back to an older one.
///
/// Reads the newest of each key once, then long reads from there. When records expired before they were read, it starts over.
class KeyedFeed : public QObject
{
    Q_OBJECT

public:
    KeyedFeed(KeyedFeedOptions options, const RecordStore &store, KeyedFeedHooks hooks, QObject *parent = nullptr);

    void start();
    bool isSynced() const
    {
        return m_synced;
    }
    /// The latest moment at which what onChange tells now can't have been there yet: the answer before this one. A record may be read late, as
    /// after this VM stood still.
    Instant unseenSince() const
    {
        return m_previousAnswerAt.value_or(Instant::min());
    }

private:
    void readPage(const std::string &afterKey);
    void takePage(const StoreResult<NewestPage> &result);
    void finishSnapshot();
    void readOn();
    std::chrono::milliseconds intervalNow() const;
    void takeBatch(const StoreResult<RecordBatch> &result);
    void apply(const StoreRecord &record);
    void answered(std::chrono::milliseconds age);
    void failed(StoreError error);
    bool isAfterOutage() const;

    KeyedFeedOptions m_options;
    const RecordStore &m_store;
    KeyedFeedHooks m_hooks;
    QTimer m_retry;
    Instant m_readAt{}; ///< when the last read began
    std::map<std::string, std::uint64_t> m_offsets; ///< of the newest record told of each key, dropped ones too
    std::set<std::string> m_present; ///< keys that have a value
    std::set<std::string> m_pageKeys; ///< keys seen in the snapshot being read
    std::optional<std::uint64_t> m_snapshotEnd; ///< end of the topic when the snapshot began
    std::uint64_t m_next = 0;
    bool m_synced = false;
    bool m_lost = false;
    std::chrono::milliseconds m_pause;
    std::optional<Instant> m_lastAnswerAt;
    std::optional<Instant> m_previousAnswerAt; ///< of the answer before the last
    std::optional<Instant> m_regainedAt; ///< after the last outage
};

} // namespace auburndrum::gateway
