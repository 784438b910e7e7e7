// At-most-once execution of one non-idempotent request whose id names the daemon that may start it.
// faults: RETRY_AFTER_SENT NO_REFUSAL_RECORD ANY_DAEMON_STARTS FORGET_EARLY INCARNATION_KEPT FALSE_NOT_RUN
//
// Size: one request id, the named daemon (which may be replaced once by a VM that remembers nothing), one other
// daemon, one backend server, a caller that sends the request up to twice to the named daemon and asks once through
// the other. Messages to the named daemon may be delayed without bound or lost; replies may be lost.
//
// Guard in this model                       C++ function
// start only as the incarnation named       Query::beginAtMostOnce (namesThisDaemon)
// never start a recorded request            Query::beginAtMostOnce (decisionForEntry)
// a question records a refusal              Query::resolveAtMostOnce (addEntry as Refused)
// no start after the window                 Query::beginAtMostOnce (checkAge), Query::removeExpiredRequests
// no retry after a byte may have left       Query::onFailure (Backend::provesNotRun)
// not_run only if proven                    Query::onFailure (Backend::provesNotRun)

#define ABSENT 0
#define RUNNING 1
#define FINISHED 2
#define REFUSED 3

mtype = { answered, notRun, none };

byte record = ABSENT;       // The named daemon's registry entry.
bool replaced = false;      // The VM was replaced: a new incarnation with an empty registry.
bool windowOver = false;    // The time in the id lies further back than the window.
byte runs = 0;              // How often the backend server ran the request.
bool saidNotRun = false;    // Some daemon told the caller that the request did not run.

chan toNamed = [2] of { bit };       // Requests on their way to the named daemon; delivery may come at any time.
chan toBackend = [3] of { bit };     // Requests on their way to the backend server.
chan fromBackend = [3] of { mtype }; // Replies: answered or notRun.

// The caller sends to the named daemon, perhaps again.
active proctype caller()
{
    toNamed!0;
    if
    :: toNamed!0
    :: skip
    fi
}

// A message to the named daemon may be lost.
active proctype lossyNetwork()
{
    if
    :: toNamed?_
    :: skip
    fi
}

// Query::removeExpiredRequests: only after the window, and never while the request runs.
active proctype clock()
{
    windowOver = true;
    atomic {
        if
        :: record == FINISHED || record == REFUSED -> record = ABSENT
        :: else -> skip
        fi
    }
}

#ifdef FORGET_EARLY
active proctype earlyForgetting()
{
    atomic {
        if
        :: record == FINISHED || record == REFUSED -> record = ABSENT
        :: else -> skip
        fi
    }
}
#endif

// The named daemon, and after a replacement the VM that took its place.
active proctype namedDaemon()
{
    byte attempts = 0;
    mtype reply = none;
    bool start = false;
end:
    do
    :: toNamed?_ ->
        start = false;
        atomic {
            if
#ifdef INCARNATION_KEPT
            :: record == ABSENT && !windowOver -> record = RUNNING; start = true
#else
            :: record == ABSENT && !windowOver && !replaced -> record = RUNNING; start = true
#endif
            :: record == REFUSED -> saidNotRun = true
            :: else -> skip
            fi
        }
        if
        :: start ->
            attempts = 1;
            toBackend!0;
waiting:
            if
            :: fromBackend?reply ->
                if
                :: reply == notRun && attempts < 2 && !replaced -> attempts++; toBackend!0; goto waiting
                :: reply == notRun && attempts == 2 && !replaced ->
                    atomic { record = FINISHED; saidNotRun = true }
                :: else ->
                    atomic {
                        if
                        :: !replaced -> record = FINISHED
                        :: else -> skip
                        fi
                    }
                fi
            :: true -> // Silent connection, lost reply or deadline.
#ifdef RETRY_AFTER_SENT
                if
                :: attempts < 2 -> attempts++; toBackend!0; goto waiting
                :: else -> skip
                fi;
#endif
                atomic {
                    if
                    :: !replaced ->
                        record = FINISHED;
#ifdef FALSE_NOT_RUN
                        saidNotRun = true
#else
                        skip // Unknown.
#endif
                    :: else -> skip
                    fi
                }
            fi
        :: else -> skip
        fi
    od
}

// The VM is replaced once, at any time: the new incarnation remembers nothing.
active proctype replacement()
{
    if
    :: atomic { replaced = true; record = ABSENT }
    :: skip
    fi
}

// Another daemon gets the caller's retry and asks the named one.
active proctype otherDaemon()
{
    bool refuse = false;
    if
    :: atomic { // The named daemon is reached.
            if
            :: !replaced && record == ABSENT && !windowOver ->
#ifndef NO_REFUSAL_RECORD
                record = REFUSED;
#endif
                refuse = true
            :: !replaced && record == REFUSED -> refuse = true
            :: else -> skip // Another incarnation, running, finished or too old: unknown, wait or replay.
            fi
        }
        if
        :: refuse -> saidNotRun = true
        :: else -> skip
        fi
    :: true -> // The named daemon cannot be reached.
#ifdef ANY_DAEMON_STARTS
        toBackend!0
#else
        skip // Unknown.
#endif
    fi
}

active proctype backendServer()
{
end:
    do
    :: toBackend?_ ->
        if
        :: nfull(fromBackend) -> fromBackend!notRun // Sheds load or is leaving: it did not run the request.
        :: true ->
            runs++;
            if
            :: nfull(fromBackend) -> fromBackend!answered
            :: true // The reply is lost.
            fi
        fi
    od
}

// Runs at most once, and not_run is never said of a request that ran or will run.
ltl promises { [] (runs <= 1 && !(saidNotRun && runs > 0)) }
