/* Leases for orders in a log that may return to an older copy: two processes, of which each may miss records that the other has read.
 *
 * Records after the copy are gone, their positions are given out again, and the era rises. A process that reads a new era forgets its lease and waits. It
 * waits after its first response too, unless a lease of the era shows that another process has done so. Fencing numbers are ordered by era, then by
 * position. A process may be paused for any number of ticks between two steps, and may restart once, also by giving up its lease. Times, writes and reads
 * are as in leaselog.pml.
 *
 * Mutants (-D): NO_AT, COUNT_FROM_READ, NO_FIRST_WAIT, START_WAIT (the wait of the first response counts from the start), OLD_ERA_SETTLES (a lease of an
 * earlier era spares that wait), STRAY_ENDS (a record that gives up a lease ends that of another process).
 */
#define HOLDERS 2
#define LOG_SIZE 4
#define DURATION 2
#define MARGIN 1
#define RECOVERY DURATION
#define WRITES 2
#define COPIES 1

/* Kinds of records. */
#define LEASE 0
#define END 1                   /* gives up its writer's lease, which is the record before it */
#define STRAY_END 2             /* the same, but the log lost that lease while the record was under way */

#ifdef NO_AT
#define MAY_TAKE_EFFECT(me) true
#define WILL_BE_REFUSED(me) false
#else
#define MAY_TAKE_EFFECT(me) (pendingAt[me] == logLength)
#define WILL_BE_REFUSED(me) (era > COPIES && pendingAt[me] < logLength)
#endif

byte logLength;
byte era = 1;
byte kept;                      /* length of the copy; 0 unless a process takes the era before for the present one */
byte kind[LOG_SIZE + 1];        /* by position, from 1 */
bool settles[LOG_SIZE + 1];     /* its writer had waited in the present era */
byte highestFencing;

/* Of each process. */
byte knownEra[HOLDERS];         /* 0 before the log's first response */
byte next[HOLDERS];             /* records read */
byte writes[HOLDERS];
bool pending[HOLDERS];          /* a write is under way */
byte pendingAt[HOLDERS];
bool pendingIsOwn[HOLDERS];     /* by this incarnation */
bool pendingSettles[HOLDERS];   /* in the present era */
byte pendingKind[HOLDERS];
byte written[HOLDERS];          /* position of this incarnation's lease that it hasn't read yet, 0 for none */
byte held[HOLDERS];             /* position of its lease, 0 for none */
bool restarted[HOLDERS];

/* Ticks left. */
byte askedLeft[HOLDERS];        /* of the right to order by the lease that is under way or unread */
byte orderLeft[HOLDERS];        /* of the right to order by the lease held */
byte currentLeft[HOLDERS];      /* of the lease in force; 0 while it is its own or unknown */
byte recoveryLeft[HOLDERS];
byte settlingLeft[HOLDERS];     /* of the wait of the first response; 0 when recoveryLeft is no less */

#ifdef NO_FIRST_WAIT
#define FIRST_WAIT(me) 0
#else
#ifdef START_WAIT
#define FIRST_WAIT(me) settlingLeft[me]
#else
#define FIRST_WAIT(me) RECOVERY
#endif
#endif

#ifdef STRAY_ENDS
#define LEFT_AFTER(kind, left) (kind == LEASE -> DURATION : 0)
#else
#define LEFT_AFTER(kind, left) (kind == LEASE -> DURATION : (kind == END -> 0 : left))
#endif

#ifdef OLD_ERA_SETTLES
#define SETTLES_LATER(it) it
#else
#define SETTLES_LATER(it) false
#endif

#define FENCING(me) (knownEra[me] * (LOG_SIZE + 1) + held[me])
#define COUNT_DOWN(left) left = (left > 0 -> left - 1 : 0)

proctype Clock()
{
end:
    do
    :: d_step {
           COUNT_DOWN(askedLeft[0]); COUNT_DOWN(orderLeft[0]); COUNT_DOWN(currentLeft[0]); COUNT_DOWN(recoveryLeft[0]);
           COUNT_DOWN(settlingLeft[0]);
           COUNT_DOWN(askedLeft[1]); COUNT_DOWN(orderLeft[1]); COUNT_DOWN(currentLeft[1]); COUNT_DOWN(recoveryLeft[1]);
           COUNT_DOWN(settlingLeft[1])
       }
    od
}

/* A process that doesn't know the present era may take any position for the end. */
#define MAY_BE_AT_END(me) (knownEra[me] != 0 && (knownEra[me] != era || next[me] == logLength))

inline beginWrite(me)
{
    pending[me] = true;
#ifndef NO_AT
    pendingAt[me] = next[me];
#endif
#ifdef OLD_ERA_SETTLES
    pendingSettles[me] = true
#else
    pendingSettles[me] = (knownEra[me] == era)
#endif
}

inline endWrite(me)
{
    pending[me] = false;
    pendingAt[me] = 0;
    pendingIsOwn[me] = false;
    pendingSettles[me] = false;
    pendingKind[me] = LEASE;
    if
    :: written[me] == 0 -> askedLeft[me] = 0
    :: else
    fi
}

#define IS_BEHIND(me) (knownEra[me] != 0 && knownEra[me] < era)

inline dropKept()
{
    kept = (IS_BEHIND(0) || IS_BEHIND(1) -> kept : 0)
}

/* The process forgets its lease, and the write under way doesn't count as its own. */
inline forget(me)
{
    next[me] = 0;
    pendingIsOwn[me] = false;
    written[me] = 0;
    askedLeft[me] = 0;
    held[me] = 0;
    orderLeft[me] = 0;
    settlingLeft[me] = 0
}

inline restart(me)
{
    restarted[me] = true;
    forget(me);
    knownEra[me] = 0;
    currentLeft[me] = 0;
    recoveryLeft[me] = 0;
    dropKept();
#ifdef START_WAIT
    settlingLeft[me] = RECOVERY
#else
    skip
#endif
}

/* A write that the log refuses from now on. */
inline endIfRefused(me)
{
    if
    :: pending[me] && WILL_BE_REFUSED(me) -> endWrite(me)
    :: else
    fi
}

/* What the processes have under way is no own lease any more, since they forget it before they read the log again. */
inline loseRecords(count)
{
    era++;
    logLength = logLength - count;
    kept = logLength;
    for (i : 1 .. LOG_SIZE) {
        kind[i] = (i <= kept -> kind[i] : LEASE);
        settles[i] = SETTLES_LATER(settles[i]) && i <= kept
    }
    i = 0;
    pendingIsOwn[0] = false;
    pendingIsOwn[1] = false;
    pendingKind[0] = (pendingKind[0] == END && pendingAt[0] > kept -> STRAY_END : pendingKind[0]);
    pendingKind[1] = (pendingKind[1] == END && pendingAt[1] > kept -> STRAY_END : pendingKind[1]);
    pendingSettles[0] = SETTLES_LATER(pendingSettles[0]);
    pendingSettles[1] = SETTLES_LATER(pendingSettles[1]);
    written[0] = 0;
    written[1] = 0;
    askedLeft[0] = 0;
    askedLeft[1] = 0;
    endIfRefused(0);
    endIfRefused(1);
    dropKept()
}

proctype Log()
{
    byte i;
end:
    do
    :: d_step { era <= COPIES && logLength >= 1 -> loseRecords(1) }
    :: d_step { era <= COPIES && logLength >= 2 -> loseRecords(2) }
    :: d_step { era <= COPIES && logLength >= 3 -> loseRecords(3) }
    :: d_step { era <= COPIES && logLength >= 4 -> loseRecords(4) }
    od
}

proctype LogSlot(byte me)
{
end:
    do
    :: d_step {
           pending[me] && logLength < LOG_SIZE && MAY_TAKE_EFFECT(me) ->
           logLength++;
           kind[logLength] = pendingKind[me];
           settles[logLength] = pendingSettles[me];
           written[me] = (pendingIsOwn[me] -> logLength : written[me]);
           endWrite(me);
           endIfRefused(0);
           endIfRefused(1)
       }
    :: d_step { pending[me] -> endWrite(me) }
    od
}

proctype Holder(byte me)
{
end:
    do
    :: d_step {                         /* the first response */
           knownEra[me] == 0 ->
           knownEra[me] = era;
           settlingLeft[me] = FIRST_WAIT(me)
       }
    :: d_step {                         /* the first response of a new era */
           knownEra[me] != 0 && knownEra[me] < era ->
           knownEra[me] = era;
           forget(me);
           currentLeft[me] = 0;
           recoveryLeft[me] = RECOVERY;
           dropKept()
       }
    :: d_step {                         /* reads the next record */
           knownEra[me] == era && next[me] < logLength ->
           next[me]++;
           settlingLeft[me] = (settles[next[me]] -> 0 : settlingLeft[me]);
           if
           :: true ->
               if
               :: written[me] == next[me] ->
                   held[me] = next[me];
                   currentLeft[me] = 0;
#ifdef COUNT_FROM_READ
                   orderLeft[me] = DURATION
#else
                   orderLeft[me] = askedLeft[me]
#endif
               :: else ->
                   held[me] = 0;
                   currentLeft[me] = LEFT_AFTER(kind[next[me]], currentLeft[me]);
                   orderLeft[me] = 0
               fi
           fi;
           if
           :: written[me] == next[me] -> written[me] = 0; askedLeft[me] = 0
           :: else
           fi
       }
    :: d_step {                         /* writes a lease; at a position that isn't the log's end it would be refused */
           !pending[me] && writes[me] < WRITES && MAY_BE_AT_END(me) && recoveryLeft[me] == 0 && settlingLeft[me] == 0 && currentLeft[me] == 0 ->
           writes[me]++;
           beginWrite(me);
           pendingIsOwn[me] = (knownEra[me] == era);
           askedLeft[me] = (pendingIsOwn[me] -> DURATION - MARGIN : 0)
       }
    :: d_step {                         /* orders */
           orderLeft[me] > 0 ->
           assert(orderLeft[1 - me] == 0);
           assert(FENCING(me) >= highestFencing);
           highestFencing = FENCING(me)
       }
    :: d_step { !restarted[me] -> restart(me) }
    :: d_step {                         /* gives up its lease and restarts */
           !restarted[me] && !pending[me] && orderLeft[me] > 0 && MAY_BE_AT_END(me) ->
           beginWrite(me);
           pendingKind[me] = (knownEra[me] == era || next[me] <= kept -> END : STRAY_END);
           restart(me)
       }
    od
}

init {
    atomic {
#ifdef START_WAIT
        settlingLeft[0] = RECOVERY;
        settlingLeft[1] = RECOVERY;
#endif
        run Clock();
        run Log();
        run LogSlot(0);
        run LogSlot(1);
        run Holder(0);
        run Holder(1)
    }
}
