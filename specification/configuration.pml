/* Configuration through the log: two operators publish on the same base at different entry VMs, and a third
 * entry VM starts from a snapshot and reads on.
 *
 * Pauses are the interleavings. A publisher may time out, crash, or lose the log's reply at any step; an append
 * takes effect at any later time, or never, and may be made twice.
 *
 * Mutants (-D): ACCEPT_ON_REPLY, NO_BASE_CHECK, FORGET_REQUEST, ADOPT_LOWER, SNAPSHOT_AHEAD.
 */
#define PUBLISHERS 2
#define LOG_SIZE 5
#define MAX_APPENDS 2
#define NONE 255

mtype = { accepted, beaten, unknown };

typedef Entry { byte publisher; byte base };

Entry entries[LOG_SIZE + 1];    /* offsets from 1 */
byte logLength;
byte pendingAppends[PUBLISHERS];
byte pendingBase[PUBLISHERS];   /* version in force where the publisher began */
bool replied[PUBLISHERS];
byte acceptedAt[LOG_SIZE + 1];  /* by base: the publisher that was told "accepted" on it */
byte winnerOf[LOG_SIZE + 1];    /* by base: whose record the first fold took */
byte versionAt[LOG_SIZE + 1];   /* by offset: the version that the first fold there had */

bool hasSnapshot;
byte snapshotCovers;
byte snapshotVersion;
byte snapshotRequests;          /* bit per publisher */
byte snapshotWinners;

proctype LogSlot(byte publisher)
{
end:
    do
    :: d_step {
           pendingAppends[publisher] > 0 && logLength < LOG_SIZE ->
           pendingAppends[publisher]--;
           logLength++;
           entries[logLength].publisher = publisher;
           entries[logLength].base = pendingBase[publisher];
           replied[publisher] = true
       }
    :: d_step { pendingAppends[publisher] > 0 -> pendingAppends[publisher]-- }
    od
}

inline foldNext()
{
    position++;
    publisherBit = 1 << entries[position].publisher;
    if
#ifdef FORGET_REQUEST
    :: false -> skip
#else
    :: requests & publisherBit -> skip
#endif
    :: else ->
        requests = requests | publisherBit;
        if
#ifdef NO_BASE_CHECK
        :: true ->
#else
        :: entries[position].base == version ->
#endif
            if
            :: winnerOf[entries[position].base] == NONE -> winnerOf[entries[position].base] = entries[position].publisher
            :: else
            fi;
            version = position;
            winners = winners | publisherBit
#ifndef NO_BASE_CHECK
        :: else -> winners = winners & (255 - publisherBit)
#endif
        fi
    fi;
    publisherBit = 0;
    checkFold()
}

/* Equal offsets mean equal folds, and a version never falls. */
inline checkFold()
{
    assert(version >= lastVersion);
    lastVersion = version;
    assert(versionAt[position] == NONE || versionAt[position] == version);
    versionAt[position] = version
}

inline saveSnapshot()
{
    hasSnapshot = true;
    snapshotCovers = position;
#ifdef SNAPSHOT_AHEAD
    snapshotCovers = (position < logLength -> position + 1 : position);
#endif
    snapshotVersion = version;
    snapshotRequests = requests;
    snapshotWinners = winners
}

inline adoptSnapshot()
{
    position = snapshotCovers;
    version = snapshotVersion;
    requests = snapshotRequests;
    winners = snapshotWinners;
    checkFold()
}

proctype Publisher(byte me)
{
    byte position = 0;
    byte version = 0;
    byte lastVersion = 0;
    byte requests = 0;
    byte winners = 0;
    byte publisherBit = 0;
    byte appends = 0;
    bool isAnswered = false;
    byte mine = 1 << me;
end:
    do
    :: d_step { position < logLength -> foldNext() }
    :: d_step { position > 0 -> saveSnapshot() }
    :: d_step { appends == 0 -> appends++; pendingBase[me] = version; pendingAppends[me]++ }
    :: d_step { appends > 0 && appends < MAX_APPENDS -> appends++; pendingAppends[me]++ }
#ifdef ACCEPT_ON_REPLY
    :: d_step { replied[me] && !isAnswered ->
#else
    :: d_step { (requests & mine) && (winners & mine) && !isAnswered ->
#endif
           isAnswered = true;
           assert(acceptedAt[pendingBase[me]] == NONE);
           acceptedAt[pendingBase[me]] = me
       }
    :: d_step { (requests & mine) && !(winners & mine) && !isAnswered -> isAnswered = true; assert(winnerOf[pendingBase[me]] != me) }
    :: d_step { !isAnswered -> isAnswered = true }  /* unknown: asked for later by the request id */
    :: break                                        /* crash */
    od
}

proctype Starter()
{
    byte position = 0;
    byte version = 0;
    byte lastVersion = 0;
    byte requests = 0;
    byte winners = 0;
    byte publisherBit = 0;
end:
    do
    :: d_step { position < logLength -> foldNext() }
#ifdef ADOPT_LOWER
    :: d_step { hasSnapshot -> adoptSnapshot() }
#else
    :: d_step { hasSnapshot && snapshotCovers > position -> adoptSnapshot() }
#endif
    :: break
    od
}

init {
    byte n;
    atomic {
        for (n : 0 .. LOG_SIZE) {
            acceptedAt[n] = NONE;
            winnerOf[n] = NONE;
            versionAt[n] = NONE
        }
        for (n : 0 .. PUBLISHERS - 1) {
            run LogSlot(n);
            run Publisher(n)
        }
        run Starter()
    }
}
