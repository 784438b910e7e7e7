// Hand-over of one part of the retry slack from an active daemon to its successors.
// faults: NO_WAIT KEEP_WHEN_INACTIVE NO_MAJORITY
//
// Size: three daemons of one data centre, one part of PART retries, windows of W ticks. In each tick the selection
// moves, one daemon restarts, or one is cut off from the others or reached again. Every daemon spends what it may.
//
// Guard in this model                     C++ function
// a successor earns its part slowly       Forward::tryTakeRetry (earnedSlack)
// only an active daemon holds slack       Forward::updateSharedLimits
// only a majority holds slack             Membership::seesMajority

#define N 3
#define W 3
#define PART 6
#define INITIAL 3   // Earned over the first window.
#define TICKS 8

byte chosen = 0;    // The daemon that those that reach each other select.
bool cut[N];        // Cut off from the other two.
bool holds[N];
byte age[N];        // Ticks since the daemon began to hold the part, up to W.
byte own[9];        // Retries that daemon d remembers for tick t of the window, at d * W + t.
byte all[W];        // Retries of all daemons in each tick of the window.
byte now = 0;
byte ticks = 0;
byte d, i, used, limit;
bool entitled;

inline forget(daemon)
{
    holds[daemon] = false; age[daemon] = 0;
    i = 0;
    do
    :: i < W -> own[daemon * W + i] = 0; i++
    :: else -> break
    od
}

// Forward::updateSharedLimits
inline update(daemon)
{
    entitled = (chosen == daemon && !cut[daemon]);
#ifdef NO_MAJORITY
    entitled = (entitled || cut[daemon]);
#endif
    if
    :: entitled && !holds[daemon] -> holds[daemon] = true; age[daemon] = 0
    :: entitled && holds[daemon] && age[daemon] < W -> age[daemon] = age[daemon] + 1
    :: !entitled && holds[daemon] ->
#ifdef KEEP_WHEN_INACTIVE
        skip
#else
        holds[daemon] = false
#endif
    :: else -> skip
    fi
}

// Forward::tryTakeRetry, until it refuses
inline spend(daemon)
{
    used = own[daemon * W] + own[daemon * W + 1] + own[daemon * W + 2];
    limit = 0;
    if
    :: holds[daemon] && age[daemon] >= W -> limit = PART
    :: holds[daemon] && age[daemon] < W ->
#ifdef NO_WAIT
        limit = PART
#else
        limit = age[daemon] * INITIAL / W
#endif
    :: else -> skip
    fi;
    if
    :: limit > used -> own[daemon * W + now] = limit - used; all[now] = all[now] + limit - used
    :: else -> skip
    fi
}

active proctype fleet()
{
    holds[0] = true;
    age[0] = W;
    do
    :: ticks < TICKS ->
        atomic {
            if
            :: skip
            :: chosen = 0
            :: chosen = 1
            :: chosen = 2
            :: forget(chosen)
            :: cut[0] = !cut[0]; if :: cut[0] && chosen == 0 -> chosen = 1 :: else -> skip fi
            fi;
            now = (now + 1) % W;
            all[now] = 0;
            d = 0;
            do
            :: d < N -> own[d * W + now] = 0; update(d); d++
            :: else -> break
            od;
            d = 0;
            do
            :: d < N -> spend(d); d++
            :: else -> break
            od;
            assert(all[0] + all[1] + all[2] <= PART + INITIAL);
            ticks++
        }
    :: else -> break
    od
}
