// Cold start allowance under member lists that lag, a hand-over of the warmer, and restarts of the replica.
// faults: EVERY_DAEMON_WARMS NO_CLAIMS NO_HAND_OVER HAND_OVER_WITHOUT_REQUEST NO_EXPIRY NO_RESTART_AFTER_PAUSE RAMP_BY_TIME TAKE_LATEST
//
// Size: two daemons whose views lag, one replica that restarts without notice twice.
// Proved: requests sent to the replica by daemons that know it to be cold never exceed, together, what it bears; and no
// daemon sends as to a warm replica once it has had evidence of the generation that is cold.
// Assumed: a daemon that confirms its view has heard the claims of all whose views are confirmed
// (Backend::confirmOwnership); requests end within LONGEST. The views may be any, and differ for any time.
// Time is a number of ticks; events between two ticks happen at the same time. A generation stands for an incarnation.

#ifndef DAEMONS
#define DAEMONS 2
#endif
#define BEARS 1
#define LIFETIME 1 /* ownershipLifetime */
#define LONGEST 1 /* service_state.maximumRequestDuration */
#define GENERATIONS 2
#define OLDEST 4 /* Ages saturate here, above each bound that they are compared with. */

bool first[DAEMONS]; /* What each daemon believes: replica_state.slowStartRank == 0. */
byte viewAge[DAEMONS]; /* Ticks since the view was confirmed. */
byte firstAge[DAEMONS]; /* Ticks since replica_state.slowStartOwnerSince. */
byte running[DAEMONS]; /* Requests that the daemon sent knowing the replica to be cold. */
byte runningAge[DAEMONS]; /* Of the youngest; all end LONGEST after it at the latest. */
byte generation[DAEMONS]; /* slow_start_record.generation */
bool warmKnown[DAEMONS]; /* slow_start_record.level > 0 */
byte evidence[DAEMONS]; /* The greatest generation that the daemon has ever known of. */

byte trueGeneration = 0;
bool trulyWarm = false;
byte wireGeneration = 0; /* A record under way, delivered any number of times. */
bool wireWarm = false;

byte total;
byte index;
bool mayTick;

/* Backend::mayRunSlowStart */
#ifdef EVERY_DAEMON_WARMS
#define IS_FIRST(d) true
#else
#define IS_FIRST(d) first[d]
#endif
#ifdef NO_EXPIRY
#define IS_CONFIRMED(d) true
#else
#define IS_CONFIRMED(d) (viewAge[d] <= LIFETIME)
#endif
#if defined(NO_HAND_OVER)
#define IS_HANDED_OVER(d) true
#elif defined(HAND_OVER_WITHOUT_REQUEST)
#define IS_HANDED_OVER(d) (firstAge[d] > LIFETIME)
#else
#define IS_HANDED_OVER(d) (firstAge[d] > LIFETIME + LONGEST)
#endif
#define MAY_WARM(d) (IS_FIRST(d) && IS_CONFIRMED(d) && IS_HANDED_OVER(d))

/* Backend::applyReport: evidence of another generation. */
inline observe(d)
{
    if
    :: generation[d] != trueGeneration ->
        generation[d] = trueGeneration;
        warmKnown[d] = false;
        evidence[d] = trueGeneration
    :: else
    fi
}

/* Backend::applyOwnership and Backend::confirmOwnership */
inline confirm(d)
{
#ifndef NO_RESTART_AFTER_PAUSE
    if
    :: viewAge[d] > LIFETIME -> firstAge[d] = 0
    :: else
    fi;
#endif
    if
    :: true -> first[d] = false
    :: true ->
        if
        :: !first[d] -> firstAge[d] = 0
        :: else
        fi;
        first[d] = true
    fi;
#ifndef NO_CLAIMS
    /* Backend::claimedReplicas at the others, Backend::recordClaim here */
    index = 0;
    do
    :: index < DAEMONS ->
        if
        :: index != d && first[index] -> firstAge[d] = 0
        :: index != d && first[index] && viewAge[index] > LIFETIME /* It is paused or cut off. */
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0;
#endif
    viewAge[d] = 0
}

/* Backend::hasSlowStartCapacity at level 0 */
inline sendCold(d)
{
    running[d]++;
    runningAge[d] = 0;
    total = 0;
    index = 0;
    do
    :: index < DAEMONS -> total = total + running[index]; index++
    :: else -> break
    od;
    assert(total <= BEARS);
    total = 0;
    index = 0
}

/* Backend::importSlowStart by Backend::joinSlowStart */
inline import(d)
{
    if
#ifdef TAKE_LATEST
    :: true ->
#else
    :: wireGeneration > generation[d] || (wireGeneration == generation[d] && wireWarm) ->
#endif
        generation[d] = wireGeneration;
        warmKnown[d] = wireWarm;
        if
        :: wireGeneration > evidence[d] -> evidence[d] = wireGeneration
        :: else
        fi
    :: else
    fi
}

/* Backend::recordSlowStartResponse: only answers of a replica that is warm count. */
#ifdef RAMP_BY_TIME
#define SHOWS_WARMTH true
#else
#define SHOWS_WARMTH trulyWarm
#endif

inline tick()
{
    mayTick = true;
    index = 0;
    do
    :: index < DAEMONS ->
        if
        :: running[index] > 0 && runningAge[index] >= LONGEST -> mayTick = false
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0;
    do
    :: mayTick && index < DAEMONS ->
        if
        :: viewAge[index] < OLDEST -> viewAge[index]++
        :: else
        fi;
        if
        :: firstAge[index] < OLDEST -> firstAge[index]++
        :: else
        fi;
        if
        :: running[index] > 0 -> runningAge[index]++
        :: else -> runningAge[index] = 0
        fi;
        index++
    :: else -> break
    od;
    mayTick = false;
    index = 0
}

active [DAEMONS] proctype daemon()
{
    byte self = _pid;
    do
    :: atomic { true -> confirm(self) }
    :: atomic { !warmKnown[self] && MAY_WARM(self) && running[self] < BEARS -> sendCold(self) }
    :: atomic { warmKnown[self] -> assert(trulyWarm || evidence[self] < trueGeneration) } /* It sends as to a warm one. */
    :: atomic { warmKnown[self] -> observe(self) } /* An answer to such a request. */
    :: atomic {
        running[self] > 0 ->
        running[self]--;
        observe(self);
        if
        :: SHOWS_WARMTH -> warmKnown[self] = true
        :: true
        fi
    }
    :: atomic { running[self] > 0 -> running[self]-- } /* Lost or cancelled. */
    :: atomic { wireGeneration = generation[self]; wireWarm = warmKnown[self] } /* Backend::exportSlowStart */
    :: atomic { true -> import(self) }
    od
}

active proctype environment()
{
    do
    :: atomic { true -> tick() }
    :: atomic { !trulyWarm -> trulyWarm = true }
    :: atomic { trueGeneration < GENERATIONS -> trueGeneration++; trulyWarm = false }
    od
}
