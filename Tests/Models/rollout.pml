// The verdict on a rollout and its record in the document.
// faults: VERDICT_REPLACED VERDICT_NOT_LOCAL NO_CONDITION CLOSED_NOT_CHECKED LOWER_NUMBER_ADOPTED
//
// Size: two daemons, one rollout, one store. Any daemon may see the fault, at any time or never; the deadline may
// pass at any time. Daemons hand their verdict and their document to one another in any order, also old ones: a
// message may be taken long after it was made. Each daemon closes the rollout up to twice; it may be paused for any
// time between its decision and its write, and the reply to the write may be lost. One daemon may be replaced by a VM
// that remembers nothing.
//
// Guard in this model                         C++ function
// a verdict merges by a join                  Rollout::mergeEvidence
// no share once the verdict is known          Rollout::shareOfNewVersion, Rollout::chooseVersion
// nothing is written to a closed rollout      Rollout::closeRollout (isClosed)
// the write is conditional on the number      Platform::store_client::write (If-Match)
// only higher numbers are adopted             active_configuration::adopt

#define DAEMONS 2
#define TRIES 2

#define RUNNING 0
#define DONE 1
#define TAKEN_BACK 2

byte storeState = RUNNING;
byte storeNumber = 1;
bool wasDone = false;       // The store once said done.
bool wasTakenBack = false;  // The store once said taken back.
bool deadlinePassed = false;

bool bad[DAEMONS];          // The verdict that a daemon knows.
bool everKnew[DAEMONS];     // Since the daemon's start.
byte state[DAEMONS];        // The daemon's document.
byte number[DAEMONS];

inline adopt(self, newNumber, newState)
{
#ifdef LOWER_NUMBER_ADOPTED
    number[self] = newNumber;
    state[self] = newState
#else
    if
    :: newNumber > number[self] ->
        number[self] = newNumber;
        state[self] = newState
    :: else
    fi
#endif
}

// Whether the daemon could send a query to the new version now.
#ifdef VERDICT_NOT_LOCAL
#define SENDS_NEW(self) (state[self] != TAKEN_BACK)
#else
#define SENDS_NEW(self) (state[self] == DONE || (state[self] == RUNNING && !bad[self]))
#endif

proctype daemon(byte self)
{
    byte tries = 0;
    byte base;
    byte wanted;
    byte newState;
    byte newNumber;
    bool newVerdict;
    byte peer;
    do
    // The daemon finds the new version bad. Sticky from here on.
    :: atomic { state[self] == RUNNING && !bad[self] -> bad[self] = true; everKnew[self] = true }
    // It takes a peer's verdict, which may have been made long ago.
    :: atomic {
        if
        :: peer = 0
        :: peer = 1
        fi;
        newVerdict = bad[peer]
       };
       atomic {
#ifdef VERDICT_REPLACED
        bad[self] = newVerdict;
#else
        bad[self] = bad[self] || newVerdict;
#endif
        everKnew[self] = everKnew[self] || newVerdict;
        newVerdict = false;
        peer = 0
       }
    // It takes the document of the store or of a peer, which may be old by the time that it arrives.
    :: atomic {
        if
        :: newNumber = storeNumber; newState = storeState
        :: newNumber = number[(self + 1) % DAEMONS]; newState = state[(self + 1) % DAEMONS]
        fi
       };
       atomic {
        adopt(self, newNumber, newState);
        newNumber = 0;
        newState = 0
       }
    // It decides how the rollout ended, and writes after any pause.
    :: atomic {
        tries < TRIES ->
        tries++;
        base = number[self];
        wanted = RUNNING;
        if
#ifdef CLOSED_NOT_CHECKED
        :: bad[self] -> wanted = TAKEN_BACK
        :: !bad[self] && deadlinePassed -> wanted = DONE
#else
        :: state[self] == RUNNING && bad[self] -> wanted = TAKEN_BACK
        :: state[self] == RUNNING && !bad[self] && deadlinePassed -> wanted = DONE
#endif
        :: else
        fi
       };
       atomic {
        if
#ifdef NO_CONDITION
        :: wanted != RUNNING ->
#else
        :: wanted != RUNNING && storeNumber == base ->
#endif
            storeNumber++;
            storeState = wanted;
            wasDone = wasDone || wanted == DONE;
            wasTakenBack = wasTakenBack || wanted == TAKEN_BACK;
            if
            :: adopt(self, storeNumber, storeState) // The reply arrived.
            :: skip // The reply was lost.
            fi
        :: else
        fi;
        base = 0;
        wanted = 0
       }
    // A query arrives.
    :: atomic {
        assert(!(everKnew[self] && state[self] == RUNNING && SENDS_NEW(self)));
        assert(!(wasTakenBack && number[self] == storeNumber && SENDS_NEW(self)));
        break
       }
    od
}

// The VM of daemon 0 may be replaced once; it starts with the first document and knows no verdict.
proctype replacement()
{
    if
    :: atomic { bad[0] = false; everKnew[0] = false; number[0] = 1; state[0] = RUNNING }
    :: skip
    fi
}

proctype clock()
{
    deadlinePassed = true
}

// A document that was newer once never gives way to an older one at a daemon that goes on.
proctype observer()
{
    byte seen;
    atomic { seen = number[1] };
    atomic { assert(number[1] >= seen) }
}

init {
    byte index;
    atomic {
        do
        :: index < DAEMONS -> number[index] = 1; index++
        :: else -> break
        od;
        index = 0;
        run daemon(0);
        run daemon(1);
        run replacement();
        run clock();
        run observer()
    }
    // Holds at every moment, so it is checked at one that spin chooses.
    atomic { assert(!(wasDone && wasTakenBack)) }
}
