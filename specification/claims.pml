/* Calls that run at most once: several calls with one key, each at an entry VM of its own.
 *
 * Pauses are the interleavings. Deadlines, refusals, crashes and lost replies may come at any step.
 * A pending append takes effect at any later time, or never. Every step prints "step CALL EVENT -> ACTIONS",
 * which the trace test replays through the shipped code.
 *
 * Mutants (-D): TAKE_OVER, DISPATCH_UNDECIDED, LAST_WINS, RETRY_AFTER_BYTE, RELEASE_AFTER_BYTE, DISPATCH_ABANDONED.
 * NO_CRASH leaves crashes out, and CALM refusals and deadlines too, for longer traces.
 */
#ifndef CALLS
#define CALLS 2
#endif
#define LOG_SIZE 7
#define MAX_ATTEMPTS 2

mtype = { claim, release, outcome };
mtype = { fresh, claiming, dispatched, doubt, abandoned, recording, releasing, finished };
mtype = { undecided, won, lost, late };

typedef Entry { mtype kind; byte call; bool isVoid };

Entry entries[LOG_SIZE];
byte logLength;
bool pendingClaim[CALLS];
bool pendingRelease[CALLS];
bool pendingOutcome[CALLS];

bool sent[CALLS];       /* on its way to the backend server */
bool executed[CALLS];
bool everSent[CALLS];
bool saidNotRun[CALLS];
byte executions;

inline checkNotRun(call)
{
    assert(!(saidNotRun[call] && everSent[call]))
}

inline appendEntry(theKind, theCall, theVoid)
{
    entries[logLength].kind = theKind;
    entries[logLength].call = theCall;
    entries[logLength].isVoid = theVoid;
    logLength++;
    printf("step %d log_%e_%d ->\n", theCall, theKind, theVoid)
}

/* The log service's view of one call's appends. */
proctype LogSlot(byte call)
{
end:
    do
    :: d_step { pendingClaim[call] && logLength < LOG_SIZE -> pendingClaim[call] = false; appendEntry(claim, call, false) }
    :: d_step { pendingClaim[call] && logLength < LOG_SIZE -> pendingClaim[call] = false; appendEntry(claim, call, true) }
    :: d_step { pendingClaim[call] -> pendingClaim[call] = false }
    :: d_step { pendingRelease[call] && logLength < LOG_SIZE -> pendingRelease[call] = false; appendEntry(release, call, false) }
    :: d_step { pendingRelease[call] -> pendingRelease[call] = false }
    :: d_step { pendingOutcome[call] && logLength < LOG_SIZE -> pendingOutcome[call] = false; appendEntry(outcome, call, false) }
    :: d_step { pendingOutcome[call] -> pendingOutcome[call] = false }
    od
}

/* The backend server runs what reaches it, at any later time. */
proctype Server(byte call)
{
end:
    do
    :: d_step {
           sent[call] ->
           sent[call] = false;
           executed[call] = true;
           executions++;
           assert(executions <= 1)
       }
    od
}

inline send(call)
{
    sent[call] = true;
    everSent[call] = true;
    attempts++;
    state = dispatched;
    checkNotRun(call)
}

inline sayNotRun(call)
{
    saidNotRun[call] = true;
    checkNotRun(call)
}

/* Folds the next entry of the log in. */
inline foldNext(me)
{
    if
    :: entries[position].kind == claim && entries[position].isVoid ->
        if
        :: entries[position].call == me -> verdict = late
        :: else
        fi
#ifdef LAST_WINS
    :: entries[position].kind == claim && !entries[position].isVoid ->
#else
    :: entries[position].kind == claim && !entries[position].isVoid && holder == CALLS ->
#endif
        holder = entries[position].call;
        hasOutcome = false;
        if
        :: holder == me -> verdict = won
        :: else
        fi
#ifndef LAST_WINS
    :: entries[position].kind == claim && !entries[position].isVoid && holder != CALLS ->
        if
        :: entries[position].call == me -> verdict = lost
        :: else
        fi
#endif
    :: entries[position].kind == release && entries[position].call == holder && !hasOutcome ->
        holder = CALLS;
        if
        :: entries[position].call == me && state == releasing -> state = finished
        :: else
        fi
    :: entries[position].kind == outcome && entries[position].call == holder && !hasOutcome ->
        hasOutcome = true;
        if
        :: entries[position].call == me && state == recording -> state = finished
        :: else
        fi
    :: else
    fi;
    position++
}

proctype Call(byte me)
{
    mtype state = fresh;
    mtype verdict = undecided;
    byte position = 0;
    byte holder = CALLS;
    bool hasOutcome = false;
    byte attempts = 0;
    bool isRetried = false;
end:
    do
    :: d_step { state != finished && position < logLength && verdict == undecided -> printf("step %d fold ->\n", me); foldNext(me) }
    :: d_step { state == fresh && holder == CALLS -> state = claiming; pendingClaim[me] = true; printf("step %d start -> append_claim\n", me) }
    :: d_step { state == fresh && holder != CALLS && !hasOutcome -> state = finished; printf("step %d start -> answer_may_have_run\n", me) }
    :: d_step { state == fresh && holder != CALLS && hasOutcome -> state = finished; printf("step %d start -> answer_replay\n", me) }
    :: d_step { state == fresh && holder == CALLS -> state = finished; sayNotRun(me); printf("step %d start_log_down -> answer_not_run\n", me) }
#ifndef CALM
    :: d_step { state == claiming -> state = abandoned; sayNotRun(me); printf("step %d refused -> answer_not_run\n", me) }
#endif
#ifndef CALM
    :: d_step { state == claiming -> state = abandoned; sayNotRun(me); printf("step %d deadline -> answer_not_run\n", me) }
#endif
    :: d_step { state == claiming && verdict == won -> verdict = undecided; send(me); printf("step %d decided -> dispatch\n", me) }
#ifndef CALM
    :: d_step { state == claiming && verdict == won -> verdict = undecided; state = releasing; pendingRelease[me] = true; sayNotRun(me); printf("step %d decided_past_deadline -> answer_not_run append_release\n", me) }
#endif
#ifdef DISPATCH_ABANDONED
    :: d_step { state == abandoned && verdict == won -> verdict = undecided; send(me) }
#else
    :: d_step { state == abandoned && verdict == won -> verdict = undecided; state = releasing; pendingRelease[me] = true; printf("step %d decided -> append_release\n", me) }
#endif
#ifdef DISPATCH_UNDECIDED
    :: d_step { state == claiming && verdict == undecided && !pendingClaim[me] -> send(me) }
#endif
#ifdef TAKE_OVER
    :: d_step { state == claiming && verdict == lost && !hasOutcome -> verdict = undecided; send(me) }
#endif
    :: d_step { state == abandoned && (verdict == lost || verdict == late) -> verdict = undecided; state = finished; printf("step %d decided ->\n", me) }
    :: d_step { state == claiming && (verdict == late || (verdict == lost && holder == CALLS)) -> verdict = undecided; state = finished; sayNotRun(me); printf("step %d decided -> answer_not_run\n", me) }
    :: d_step { state == claiming && verdict == lost && holder != CALLS && !hasOutcome -> verdict = undecided; state = finished; printf("step %d decided -> answer_may_have_run\n", me) }
    :: d_step { state == claiming && verdict == lost && holder != CALLS && hasOutcome -> verdict = undecided; state = finished; printf("step %d decided -> answer_replay\n", me) }
    :: d_step { state == dispatched && sent[me] && attempts < MAX_ATTEMPTS -> sent[me] = false; send(me); printf("step %d dispatch_refused -> dispatch\n", me) }
    :: d_step { state == dispatched && sent[me] -> sent[me] = false; everSent[me] = false; state = releasing; pendingRelease[me] = true; sayNotRun(me); printf("step %d dispatch_refused_past_deadline -> answer_not_run append_release\n", me) }
#ifdef RETRY_AFTER_BYTE
    :: d_step { state == dispatched && attempts < MAX_ATTEMPTS -> send(me) }
#endif
#ifdef RELEASE_AFTER_BYTE
    :: d_step { state == dispatched -> state = releasing; pendingRelease[me] = true }
#endif
    :: d_step { state == dispatched -> state = doubt; printf("step %d broken -> answer_may_have_run\n", me) }
    :: d_step { state == dispatched && executed[me] -> state = recording; pendingOutcome[me] = true; printf("step %d answered -> answer_fresh append_outcome\n", me) }
    :: d_step { state == doubt && executed[me] -> state = recording; pendingOutcome[me] = true; printf("step %d answered -> append_outcome\n", me) }
    :: d_step { state == recording && !pendingOutcome[me] && !isRetried -> isRetried = true; pendingOutcome[me] = true; printf("step %d settle_timer -> append_outcome\n", me) }
    :: d_step { state == releasing && !pendingRelease[me] && !isRetried -> isRetried = true; pendingRelease[me] = true; printf("step %d settle_timer -> append_release\n", me) }
#ifndef NO_CRASH
    :: state != finished -> break                       /* crash */
#endif
    od
}

init {
    byte n;
    atomic {
        for (n : 0 .. CALLS - 1) {
            run Call(n);
            run LogSlot(n);
            run Server(n)
        }
    }
}
