#pragma once

#include "auburndrum/base/time.h"

#include <boost/outcome.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// Position of an entry in the platform's log. The first entry has offset 1; 0 means no entry.
using Offset = std::uint64_t;

/// Format version of the entries that this build writes. Entries with a higher version are skipped when read.
constexpr std::uint32_t LogFormatVersion = 1;

/// A new version of one document, published by an operator.
struct PublishRecord
{
    std::string document; ///< "service/NAME", "organisation/NAME" or "team/NAME"
    Offset baseVersion = 0; ///< version that this one replaces; 0 for a document that never existed
    std::string body; ///< document text; an empty body withdraws the document
    std::string requestId; ///< identifies the publish on a retry, when the reply to the append was lost
    std::string author;
    bool operator==(const PublishRecord &) const = default;
};

/// Identifies a call that runs at most once. Equal idempotency keys of two organisations or services are independent.
struct ClaimKey
{
    std::string service;
    std::string organisation;
    std::string key; ///< the caller's Idempotency-Key
    bool operator==(const ClaimKey &) const = default;

    bool operator<(const ClaimKey &other) const
    {
        return std::tie(service, organisation, key) < std::tie(other.service, other.organisation, other.key);
    }

    template<typename H>
    friend H AbslHashValue(H state, const ClaimKey &it) // NOLINT(readability-identifier-naming): the library's name
    {
        return H::combine(std::move(state), it.service, it.organisation, it.key);
    }
};

/// A process's request to be the only one that runs the call with this key.
struct Claim
{
    ClaimKey key;
    std::string fingerprint; ///< digest of the request; a reused key with another request has a different one
    std::string incarnation; ///< incarnation of the process that appended the claim
    std::string nonce; ///< unique to this claim
    WallTime deadline; ///< a claim that is appended to the log later than this is void
    bool operator==(const Claim &) const = default;
};

/// Claims of several calls in one append, decided in the order of the list.
struct ClaimBatchRecord
{
    std::vector<Claim> claims;
    bool operator==(const ClaimBatchRecord &) const = default;
};

/// How an outcome became known.
enum class OutcomeSource {
    Answer, ///< the backend server's response to the call itself
    Lookup, ///< response of the service's outcome look-up
    Operator, ///< entered by an operator who investigated an in-doubt claim
};

/// The response to a call, recorded so that later requests with the same key get the same response.
struct Outcome
{
    ClaimKey key;
    std::string nonce; ///< nonce of the claim that this outcome settles
    std::uint32_t status = 0; ///< HTTP status
    std::string contentType;
    std::string body; ///< response body; empty when only its digest is recorded
    std::string digest; ///< SHA-256 of a body that is too large to record or not UTF-8; empty otherwise
    OutcomeSource source = OutcomeSource::Answer;
    bool operator==(const Outcome &) const = default;
};

/// Outcomes of several calls in one append.
struct OutcomeBatchRecord
{
    std::vector<Outcome> outcomes;
    bool operator==(const OutcomeBatchRecord &) const = default;
};

/// Withdraws a claim whose call was not run, so that the key can be claimed again.
struct Release
{
    ClaimKey key;
    std::string nonce; ///< nonce of the claim to withdraw
    bool operator==(const Release &) const = default;
};

/// Releases of several claims in one append.
struct ReleaseRecord
{
    std::vector<Release> releases;
    bool operator==(const ReleaseRecord &) const = default;
};

/// Acquires, renews or resigns a lease, which is the exclusive right to send orders. The offset of its log entry is the fencing number.
struct LeaseRecord
{
    std::string resource; ///< such as "orders/SERVICE"
    std::string holder; ///< incarnation of the process that holds the lease
    std::string nonce; ///< unique to this record
    Offset replaces = 0; ///< offset of the lease record that this one replaces; 0 for the first lease of a resource
    std::chrono::milliseconds duration{0}; ///< 0 resigns the lease
    bool operator==(const LeaseRecord &) const = default;
};

/// One document within a snapshot.
struct SnapshotDocument
{
    std::string document;
    Offset version = 0;
    std::string body;
    bool operator==(const SnapshotDocument &) const = default;
};

/// The result of one publish within a snapshot.
struct SnapshotRequest
{
    std::string requestId;
    Offset version = 0; ///< accepted: the new version; otherwise the conflicting version in force
    bool accepted = false;
    WallTime at; ///< log time
    bool operator==(const SnapshotRequest &) const = default;
};

/// One claim within a snapshot, with its outcome when there is one.
struct SnapshotClaim
{
    Claim claim;
    Offset offset = 0;
    WallTime at; ///< log time
    std::vector<Outcome> outcome; ///< empty while the claim has no outcome, otherwise one element
    bool operator==(const SnapshotClaim &) const = default;
};

/// One lease within a snapshot.
struct SnapshotLease
{
    LeaseRecord lease;
    Offset offset = 0;
    bool operator==(const SnapshotLease &) const = default;
};

/// The complete state of the fold at one offset, so that older entries can be removed from the log.
struct SnapshotRecord
{
    Offset covers = 0; ///< offset of the last entry that the snapshot includes
    WallTime at; ///< highest log time of the entries that the snapshot includes
    std::vector<SnapshotDocument> documents;
    std::vector<SnapshotRequest> requests;
    std::vector<SnapshotClaim> claims;
    std::vector<SnapshotLease> leases;
    bool operator==(const SnapshotRecord &) const = default;
};

using LogRecord = std::variant<PublishRecord, ClaimBatchRecord, OutcomeBatchRecord, ReleaseRecord, LeaseRecord, SnapshotRecord>;

/// Why a log entry can't be decoded.
enum class RecordError {
    Unreadable, ///< not JSON, truncated, or without the fields of an entry
    NewerFormat, ///< written by a newer build in a higher format version
};

template<typename T>
using RecordResult = boost::outcome_v2::result<T, RecordError, boost::outcome_v2::policy::all_narrow>;

/// The decoded records of one log entry. All of them have the entry's offset.
struct LogEntry
{
    std::vector<LogRecord> records;
    std::size_t unreadableRecords = 0; ///< number of records skipped because a field is missing or invalid
    std::size_t newerRecords = 0; ///< number of records skipped because their kind is unknown, as those of a newer build
};

/// Encodes records as one log entry. They take effect together and in order.
std::string encodeEntry(const std::vector<LogRecord> &records);

/// Decodes one log entry. Records that can't be decoded are counted and skipped.
RecordResult<LogEntry> decodeEntry(const std::string &text);

/// Whether an entry's text may contain a snapshot. Much faster than decoding. A false result is always right.
bool mayContainSnapshot(const std::string &text);

} // namespace auburndrum::decision
