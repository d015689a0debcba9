/* Leases for orders in a log that drops its history: two processes, of which each may miss records that the other has read.
 *
 * Time passes in ticks, without end; all times are counted down, so that the clock itself isn't part of the state. A process may be paused for any number
 * of ticks between two steps, and may be restarted once. A write takes effect at any later time, or never, and only where the log ends at the position
 * that it names. The newest record read is in force. A variable that no later step reads is 0.
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

#ifdef CHAIN
#define NO_AT
#define KEEP_AFTER_GAP
byte replaces[LOG_SIZE + 1];    /* by position, from 1 */
byte pendingReplaces[HOLDERS];
byte current[HOLDERS];          /* position of the record in force */
#endif

#ifdef NO_AT
#define MAY_TAKE_EFFECT(me) true
#else
#define MAY_TAKE_EFFECT(me) (pendingAt[me] == logLength)
#endif

byte logLength;
byte first;                     /* records up to this one are dropped */
byte drops;
byte highestFencing;

/* Of each process. */
byte next[HOLDERS];             /* records read, or known to be dropped */
byte writes[HOLDERS];
bool pending[HOLDERS];          /* a write is under way */
byte pendingAt[HOLDERS];
bool pendingIsOwn[HOLDERS];     /* by this incarnation */
byte written[HOLDERS];          /* position of this incarnation's lease that it hasn't read yet, 0 for none */
byte held[HOLDERS];             /* position of its lease, 0 for none */
bool restarted[HOLDERS];

/* Ticks left. */
byte askedLeft[HOLDERS];        /* of the right to order by the lease that is under way or unread */
byte orderLeft[HOLDERS];        /* of the right to order by the lease held */
byte currentLeft[HOLDERS];      /* of the lease in force; 0 while it is its own */
byte recoveryLeft[HOLDERS];

#define COUNT_DOWN(left) left = (left > 0 -> left - 1 : 0)

proctype Clock()
{
end:
    do
    :: d_step {
           COUNT_DOWN(askedLeft[0]); COUNT_DOWN(orderLeft[0]); COUNT_DOWN(currentLeft[0]); COUNT_DOWN(recoveryLeft[0]);
           COUNT_DOWN(askedLeft[1]); COUNT_DOWN(orderLeft[1]); COUNT_DOWN(currentLeft[1]); COUNT_DOWN(recoveryLeft[1])
       }
    od
}

inline endWrite(me)
{
    pending[me] = false;
    pendingAt[me] = 0;
    pendingIsOwn[me] = false;
    if
    :: written[me] == 0 -> askedLeft[me] = 0
    :: else
    fi
#ifdef CHAIN
    ;
    pendingReplaces[me] = 0
#endif
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
           pending[me] && logLength < LOG_SIZE && MAY_TAKE_EFFECT(me) ->
           logLength++;
           written[me] = (pendingIsOwn[me] -> logLength : written[me]);
#ifdef CHAIN
           replaces[logLength] = pendingReplaces[me];
#endif
           endWrite(me)
       }
    :: d_step { pending[me] -> endWrite(me) }
    od
}

proctype Holder(byte me)
{
end:
    do
    :: d_step {                         /* reads the next record */
           next[me] >= first && next[me] < logLength ->
           next[me]++;
           if
#ifdef CHAIN
           :: replaces[next[me]] != current[me]
           :: else ->
               current[me] = next[me];
#else
           :: true ->
#endif
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
                   currentLeft[me] = DURATION;
                   orderLeft[me] = 0
               fi
           fi;
           if
           :: written[me] == next[me] -> written[me] = 0; askedLeft[me] = 0
           :: else
           fi
       }
    :: d_step {                         /* finds records dropped that it hasn't read */
           next[me] < first ->
           next[me] = first;
           if
           :: written[me] != 0 && written[me] <= first -> written[me] = 0; askedLeft[me] = 0
           :: else
           fi
#ifndef KEEP_AFTER_GAP
           ;
           held[me] = 0;
           orderLeft[me] = 0;
#ifndef NO_RECOVERY
           currentLeft[me] = DURATION;
           recoveryLeft[me] = RECOVERY
#else
           currentLeft[me] = 0
#endif
#endif
       }
    :: d_step {                         /* writes a lease; at a position that isn't the log's end it would be refused */
           !pending[me] && writes[me] < WRITES && next[me] == logLength && recoveryLeft[me] == 0 && currentLeft[me] == 0 ->
           writes[me]++;
           askedLeft[me] = DURATION - MARGIN;
           pending[me] = true;
           pendingIsOwn[me] = true;
#ifndef NO_AT
           pendingAt[me] = next[me]
#else
           skip
#endif
#ifdef CHAIN
           ;
           pendingReplaces[me] = current[me]
#endif
       }
    :: d_step {                         /* orders */
           orderLeft[me] > 0 ->
           assert(orderLeft[1 - me] == 0);
           assert(held[me] >= highestFencing);
           highestFencing = held[me]
       }
    :: d_step {
           !restarted[me] ->
           restarted[me] = true;
           next[me] = 0;
           pendingIsOwn[me] = false;
           written[me] = 0;
           held[me] = 0;
#ifdef CHAIN
           current[me] = 0;
#endif
           askedLeft[me] = 0;
           orderLeft[me] = 0;
           currentLeft[me] = 0;
           recoveryLeft[me] = 0
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
