#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/gateway/pausedetector.h"
#include "auburndrum/gateway/readbudget.h"
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
    ReadBudget budget; ///< of the time in which a change must be in force
    /// Longest time for which a read may wait for records; empty: the budget's refresh interval.
    std::function<std::chrono::milliseconds()> longestRead;
    /// Whether reads of records go through a relay; empty: none do.
    std::function<bool()> hasRelay;
    /// Between two reads, so that records that arrive together are read in one call, since each call has a cost. Grows with the number of keys,
    /// since more of them change at once in a larger fleet. The next read waits the shorter for records, so the budget holds all the same.
    std::chrono::milliseconds readInterval{150};
    std::chrono::milliseconds intervalPerKey{5};
    std::chrono::milliseconds maxInterval{500};
    double linkMegabits = 0; ///< bandwidth of this VM's network link, Mbit/s, which limits the size of an answer; 0 when unknown
    std::chrono::milliseconds minRetryDelay{50}; ///< before a failed call is repeated; doubles up to maxRetryDelay
    std::chrono::milliseconds maxRetryDelay{800}; ///< short against the limits for configurations and drains, which count from the store's recovery
    std::chrono::milliseconds outageThreshold{1500}; ///< time without a successful response after which the store counts as unavailable
    std::chrono::milliseconds postOutageWindow{3000}; ///< removals within this time after an outage may be expired entries of live servers
};

/// One answer to a read of a topic's records.
struct BatchReport
{
    std::uint64_t from = 0; ///< offset from which records were read
    std::uint64_t next = 0; ///< the first offset that was not read
    std::optional<std::uint64_t> end; ///< the topic's end; nothing where a relay read the topic to its end
    std::size_t records = 0;
    std::size_t superseded = 0; ///< records of a key that has a newer one in the same answer
    std::size_t supersededBytes = 0; ///< size of their values
    std::chrono::milliseconds duration{0}; ///< from the read's begin until its answer
};

/// Hooks that a KeyedFeed calls.
struct KeyedFeedHooks
{
    /// Receives the newest value of a key; nothing when the key was dropped. `duringOutage`: the store was unavailable just before. Returns whether the
    /// value can be used; when it can't, the newest one before it that can is reported, unless it was.
    std::function<bool(const std::string &key, const std::optional<QByteArray> &value, bool duringOutage)> onChange;
    std::function<void()> onSynced; ///< everything that the store held at one moment has been reported
    std::function<void(const BatchReport &)> onBatch; ///< an answer to a read of records, before its records are reported
    /// No answer came in time, and the read is repeated over a new connection; `repeats` counts those of this read, `sinceBytes` the time since bytes
    /// of an answer arrived last, nothing when none have since the read began.
    std::function<void(int repeats, std::chrono::milliseconds waited, std::optional<std::chrono::milliseconds> sinceBytes)> onOverdue;
    std::function<void(StoreError)> onStoreLost; ///< the store doesn't respond
    std::function<void()> onStoreRegained;
    std::function<void(std::uint64_t era)> onEra; ///< a response named this era, 0 when it named none
    std::function<void(std::uint64_t era)> onNewEra; ///< the store returned from an older copy of its records
};

/// @brief Follows the newest value of each key of one topic, and never reports an older one afterwards.
///
/// Reads the newest record of each key once, then long-polls from there. When records expired before they were read, it starts over; also when the store
/// returned from an older copy of its records. What such a copy still lists, though it was dropped since, is not reported before it is written again.
/// Where the records since the last read are more than one answer holds, or mostly superseded ones, the newest of each key is read in their place.
class KeyedFeed : public QObject
{
    Q_OBJECT

public:
    KeyedFeed(KeyedFeedOptions options, const RecordStore &store, KeyedFeedHooks hooks, QObject *parent = nullptr);

    void start();
    /// Replaces the budget, from the next read on.
    void setBudget(const ReadBudget &budget)
    {
        m_options.budget = budget;
        m_answerTime = budget.answerTime;
    }
    bool isSynced() const
    {
        return m_isSynced;
    }
    /// Time of the read before the current one: the latest moment at which what onChange reports now can't have been in the store
    /// yet. A record may be read late, for instance after this VM was paused or in the snapshot after a gap. Nothing in the first snapshot.
    std::optional<Instant> previousReadAt() const
    {
        return m_previousCompleteAt;
    }
    /// All changes that the store had acknowledged by this time have been reported. Nothing before the first snapshot.
    std::optional<Instant> completeAt() const
    {
        return m_completeAt;
    }

private:
    /// Sends a read and its repeats; receives how long the store may wait for records.
    using SendRead = std::function<void(std::chrono::milliseconds wait)>;

    void beginRead(std::chrono::milliseconds wait, SendRead send);
    void sendRead(std::chrono::milliseconds wait);
    void repeatRead();
    /// Wraps a handler of the present read's results, so that the first answer is handled once and late ones are dropped.
    template<typename T>
    std::function<void(StoreResult<T>)> onFirstAnswer(std::function<void(const StoreResult<T> &)> handle);
    /// Whether the result of an attempt of a read is to be handled: its first answer, or the failure of its last attempt.
    bool endRead(std::uint64_t read, int attempt, Instant sentAt, bool isAnswer);
    /// How much longer an overdue answer is awaited, since its bytes still arrive. Nothing: not at all.
    std::optional<std::chrono::milliseconds> timeForBytes() const;
    /// Time since bytes of an answer to the present read arrived; nothing when none have.
    std::optional<std::chrono::milliseconds> sinceBytes() const;
    BatchReport report(const RecordBatch &batch) const;
    /// As if the records between the last read and the snapshot had been read; superseded ones count as the largest value.
    BatchReport reportSnapshot() const;
    void recordLost(StoreError error);
    std::chrono::milliseconds currentWait() const;
    /// Reads the newest record of each key in place of the records since the last read.
    void catchUp();
    /// Reads the newest records as the next read, as superseded ones are written all the time.
    void scheduleCatchUp();
    void readSnapshot();
    /// Whether the newest record of each key is smaller than the superseded records of an answer.
    bool isSnapshotSmaller(const BatchReport &report) const;
    void readPage(const std::string &afterKey);
    void handlePage(const StoreResult<NewestPage> &result);
    void finishSnapshot();
    /// Notes the era of a response. Returns whether the response can be used; when a new era has begun, the feed starts over.
    bool acceptEra(std::uint64_t era);
    void readNext();
    std::chrono::milliseconds currentReadInterval() const;
    void handleBatch(const StoreResult<RecordBatch> &result);
    /// The longest answer to a read, in bytes; 0: as long as the store gives.
    std::size_t maxAnswerBytes() const;
    /// Reports the newest usable record of each key. Returns whether each key has one.
    bool applyNewest(const std::vector<StoreRecord> &records);
    /// Reports a record that is newer than the key's last one. Returns whether it is usable, or was not reported.
    bool apply(const StoreRecord &record);
    void recordAnswer(std::chrono::milliseconds age);
    void handleFailure(StoreError error);
    bool isAfterOutage() const;

    KeyedFeedOptions m_options;
    const RecordStore &m_store;
    KeyedFeedHooks m_hooks;
    QTimer m_readTimer;
    QTimer m_overdueTimer; ///< runs while an answer is awaited
    SendRead m_send; ///< of the present read
    std::uint64_t m_read = 0; ///< number of the present read
    int m_attempt = 0; ///< repeats of the present read
    Instant m_readBeganAt{};
    Instant m_dueAt{}; ///< when the answer to the last attempt of the present read was due
    std::chrono::milliseconds m_answerTime; ///< grows while the store is slow
    PauseDetector m_pauses;
    Instant m_lastReadAt{}; ///< when the last read began
    Instant m_sentAt{}; ///< when the call that was answered last, a read or a page of a snapshot, was sent
    std::map<std::string, std::uint64_t> m_offsets; ///< of the newest record reported for each key, dropped keys too
    std::map<std::string, std::size_t> m_presentKeys; ///< keys that have a value, with its size
    std::set<std::string> m_snapshotKeys; ///< keys seen in the snapshot being read
    std::optional<std::uint64_t> m_snapshotEnd; ///< end of the topic when the snapshot began
    Instant m_snapshotAt{}; ///< when the snapshot began
    bool m_isCatchingUp = false; ///< the snapshot being read, or the next read, stands for the records since the last read
    std::size_t m_snapshotNews = 0; ///< records of the snapshot being read that are newer than the last read
    bool m_hasUnusable = false; ///< the snapshot being read has an unusable record newer than the last read
    bool m_isNextTooLarge = false; ///< the next record is larger than an answer may be
    bool m_isRelayedHistory = false; ///< the records up to m_historyEnd were reported as far as a relay has them
    bool m_isSilenceCertain = false; ///< whether all that had arrived was handled before the read counts as overdue
    std::optional<std::uint64_t> m_historyEnd; ///< superseded records are read too up to here, for usable ones before unusable ones
    std::set<std::string> m_droppedBeforeEra; ///< keys dropped before the store returned from a copy, while the snapshot after that is read
    std::uint64_t m_era = 0; ///< of the last response; 0 when unknown
    std::uint64_t m_nextOffset = 0;
    bool m_isSynced = false;
    bool m_isStoreLost = false;
    std::chrono::milliseconds m_retryDelay;
    std::optional<Instant> m_lastAnswerAt; ///< when the last response was handled
    Instant m_answerGivenAt{}; ///< the earliest time at which the last response may have been given
    std::optional<Instant> m_completeAt; ///< all that the store held then has been reported
    std::optional<Instant> m_previousCompleteAt; ///< m_completeAt before the last read or snapshot
    std::optional<Instant> m_regainedAt; ///< end of the last outage
};

} // namespace auburndrum::gateway
