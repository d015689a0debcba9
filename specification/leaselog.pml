/* Leases for orders in a log that drops its history: two processes, of which each may miss records that the other has read.
 *
 * Time passes in ticks. A process may be paused for any number of ticks between two steps, and may be restarted once. A write takes effect at any
 * later time, or never, and only where the log ends at the position that it names. The newest record read is in force.
 *
 * Mutants (-D): NO_AT, NO_RECOVERY, KEEP_AFTER_GAP, COUNT_FROM_READ, CHAIN (a record counts only if it replaces the one in force, and needs no position).
 */
#define HOLDERS 2
#define LOG_SIZE 4
#define DURATION 3
#define MARGIN 1
#define RECOVERY 3
#define WRITES 2
#define DROPS 2
#define END_OF_TIME 9

#ifdef CHAIN
#define NO_AT
#define KEEP_AFTER_GAP
#endif

typedef Entry { byte holder; byte serial; byte replaces };

Entry entries[LOG_SIZE + 1];    /* numbered from 1 */
byte logLength;
byte first;                     /* entries up to this one are dropped */
byte drops;
byte now;
byte pending[HOLDERS];          /* 0: none; else the serial of the write under way */
byte pendingAt[HOLDERS];
byte pendingReplaces[HOLDERS];
byte mayOrderUntil[HOLDERS];    /* end of each process's right to order, 0 for none */
byte highestFencing;

proctype Clock()
{
end:
    do
    :: d_step { now < END_OF_TIME -> now++ }
    od
}

proctype Log()
{
end:
    do
    :: d_step { drops < DROPS && first < logLength -> drops++; first = logLength }
    od
}

proctype LogSlot(byte me)
{
end:
    do
    :: d_step {
           pending[me] != 0 && logLength < LOG_SIZE ->
           if
#ifdef NO_AT
           :: true ->
#else
           :: pendingAt[me] == logLength ->
#endif
               logLength++;
               entries[logLength].holder = me;
               entries[logLength].serial = pending[me];
               entries[logLength].replaces = pendingReplaces[me]
#ifndef NO_AT
           :: else
#endif
           fi;
           pending[me] = 0
       }
    :: d_step { pending[me] != 0 -> pending[me] = 0 }
    od
}

#define MINE (held != 0 && now < mayOrderUntil[me])

proctype Holder(byte me)
{
    byte next = 0;              /* entries read, or known to be dropped */
    byte current = 0;           /* position of the record in force */
    byte currentEnd = 0;
    byte recovered = 0;
    byte held = 0;
    byte serial = 0;
    byte oldest = 0;            /* serials up to this one are those of an earlier incarnation */
    byte askedAt = 0;
    bool atEnd = false;
    bool restarted = false;
end:
    do
    :: d_step {                         /* reads the next record */
           next >= first && next < logLength ->
           next++;
           if
#ifdef CHAIN
           :: entries[next].replaces != current
           :: else ->
#else
           :: true ->
#endif
               current = next;
               currentEnd = now + DURATION;
               if
               :: entries[next].holder == me && entries[next].serial == serial && serial > oldest ->
                   held = next;
#ifdef COUNT_FROM_READ
                   mayOrderUntil[me] = now + DURATION
#else
                   mayOrderUntil[me] = askedAt + DURATION - MARGIN
#endif
               :: else ->
                   held = 0;
                   mayOrderUntil[me] = 0
               fi
           fi
       }
    :: d_step {                         /* finds records dropped that it hasn't read */
           next < first ->
           next = first;
           atEnd = false;
#ifndef KEEP_AFTER_GAP
           held = 0;
           current = 0;
           mayOrderUntil[me] = 0;
#ifndef NO_RECOVERY
           currentEnd = now + DURATION;
           recovered = now + RECOVERY
#else
           currentEnd = now
#endif
#endif
       }
    :: d_step { !atEnd && next == logLength -> atEnd = true }
    :: d_step {                         /* writes a lease */
           pending[me] == 0 && serial < WRITES && atEnd && now >= recovered && (held != 0 || now >= currentEnd) ->
           serial++;
           askedAt = now;
           pending[me] = serial;
           pendingAt[me] = next;
           pendingReplaces[me] = current
       }
    :: d_step {
           MINE ->
           assert(now >= mayOrderUntil[1 - me]);
           assert(held >= highestFencing);
           highestFencing = held
       }
    :: d_step {
           !restarted ->
           restarted = true;
           oldest = serial;
           next = 0;
           current = 0;
           currentEnd = now;
           recovered = now;
           held = 0;
           mayOrderUntil[me] = 0;
           atEnd = false
       }
    od
}

init {
    atomic {
        run Clock();
        run Log();
        run LogSlot(0);
        run LogSlot(1);
        run Holder(0);
        run Holder(1)
    }
}
