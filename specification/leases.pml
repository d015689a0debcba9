/* Leases for orders to backend servers: two holders, one server that checks fencing numbers.
 *
 * Time passes in ticks. A holder may be paused for any number of ticks between its check and its order, an order
 * takes up to ORDER_TIMEOUT ticks on its way, and an append takes effect at any later time, or never.
 * A crash is a pause without end. The first holder may take the lease and renew it, the second takes it once.
 *
 * Mutants (-D): NO_CAS, COUNT_FROM_READ, NO_WAIT, NO_SERVER_CHECK, EARLY_TAKE, OVERSTAY.
 */
#define HOLDERS 2
#define LOG_SIZE 3
#define DURATION 3
#define MARGIN 1
#define ORDER_TIMEOUT 3
#define NEVER 255
#define END_OF_TIME 8

typedef Entry { byte holder; byte replaces; byte serial };

Entry entries[LOG_SIZE + 1];
byte logLength;
byte now;
byte pending[HOLDERS];          /* 0: none; else the serial of the append under way */
byte pendingReplaces[HOLDERS];
byte mayOrderUntil[HOLDERS];    /* end of each holder's right, 0 for none */
byte mayOrderFrom[HOLDERS];

byte lastOrderAt[HOLDERS] = NEVER;
byte lastOrderFencing[HOLDERS];
byte newestAccepted;            /* highest fencing number accepted by the server */

proctype Clock()
{
end:
    do
    :: d_step { now < END_OF_TIME -> now++ }
    od
}

proctype LogSlot(byte me)
{
end:
    do
    :: d_step {
           pending[me] != 0 && logLength < LOG_SIZE ->
           logLength++;
           entries[logLength].holder = me;
           entries[logLength].replaces = pendingReplaces[me];
           entries[logLength].serial = pending[me];
           pending[me] = 0
       }
    :: d_step { pending[me] != 0 -> pending[me] = 0 }
    od
}

inline foldNext(me)
{
    position++;
    if
#ifdef NO_CAS
    :: true ->
#else
    :: entries[position].replaces == current ->
#endif
        if
        :: entries[position].holder == me && entries[position].serial == serial ->
            if
            :: held != 0 && entries[position].replaces == held
            :: else -> mayOrderFrom[me] = previousEnd + ORDER_TIMEOUT
#ifdef NO_WAIT
                       ;mayOrderFrom[me] = 0
#endif
            fi;
            held = position;
#ifdef COUNT_FROM_READ
            mayOrderUntil[me] = now + DURATION;
#else
            mayOrderUntil[me] = askedAt + DURATION - MARGIN;
#endif
        :: else ->
            held = 0;
            mayOrderUntil[me] = 0
        fi;
        current = position;
        seenAt = now
#ifndef NO_CAS
    :: else
#endif
    fi
}

#ifdef OVERSTAY
#define MINE (held != 0 && now >= mayOrderFrom[me])
#else
#define MINE (held != 0 && now >= mayOrderFrom[me] && now < mayOrderUntil[me])
#endif
#define THEIRS (lastOrderAt[1 - me] != NEVER && lastOrderFencing[1 - me] < held && now < lastOrderAt[1 - me] + ORDER_TIMEOUT)
#define OVERTAKEN (lastOrderAt[1 - me] != NEVER && lastOrderFencing[1 - me] > held)

proctype Holder(byte me)
{
    byte position = 0;
    byte current = 0;
    byte seenAt = 0;
    byte held = 0;
    byte serial = 0;
    byte askedAt = 0;
    byte previousEnd = 0;
    byte order = 0;     /* fencing number of the order that was checked and not sent yet */
end:
    do
    :: d_step { position < logLength -> foldNext(me) }
#ifdef EARLY_TAKE
    :: d_step { pending[me] == 0 && serial < 2 - me && !MINE ->
#else
    :: d_step { pending[me] == 0 && serial < 2 - me && (held != 0 || (current == 0 || now >= seenAt + DURATION)) ->
#endif
           serial++;
           askedAt = now;
           previousEnd = (current == 0 -> 0 : seenAt + DURATION);
#ifdef EARLY_TAKE
           previousEnd = 0;
#endif
           pending[me] = serial;
           pendingReplaces[me] = current
       }
    :: d_step {                         /* checks its right to order */
           MINE && order == 0 ->
           assert(!THEIRS && !OVERTAKEN);
           order = held;
           lastOrderAt[me] = now;
           lastOrderFencing[me] = held
       }
    :: d_step {                         /* sent after a pause of any length */
           order != 0 ->
           if
#ifdef NO_SERVER_CHECK
           :: true ->
#else
           :: order >= newestAccepted ->
#endif
               assert(order >= newestAccepted);
               newestAccepted = order
#ifndef NO_SERVER_CHECK
           :: else
#endif
           fi;
           order = 0
       }
    od
}

init {
    atomic {
        run Clock();
        run LogSlot(0);
        run LogSlot(1);
        run Holder(0);
        run Holder(1)
    }
}
