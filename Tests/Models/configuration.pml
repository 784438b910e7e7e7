// Writing the configuration: conditional update, lost replies, delayed writes, paused writers, patch ids.
// faults: NO_CONDITION NO_PATCH_ID FORGOTTEN_ID_APPLIED OUTAGE_SAYS_REFUSED
//
// Two patches. The first is sent twice, through two daemons, the second time against a newer number; the second patch
// is sent once. A write may reach the store at any time after it was sent, also after its writer stopped waiting, and
// any reply may be lost. The store may be down once. A document keeps the ids of its last WINDOW patches.
//
// Guard in the model             Function that implements it
// read and decide (decide)       Configuration::applyPatch
// ids outside the window         Configuration::applyPatch, patch_verdict::IdExpired
// transaction steps              Configuration::startTransaction, onRead, onWritten
// the store's condition          Platform::store_client::write (If-Match)

#define WINDOW 1
#define WRITERS 3
#define TRIES 2      /* Writes of one transaction. */
#define SLOTS 6      /* WRITERS * TRIES */

mtype = { Waiting, Written, Refused };

byte storeNumber = 1;
byte idAt[8];                /* The patch that made each number. */
bool storeUp = true;
bool outageLeft = true;
byte applied[3];             /* How often each patch took effect. */

bool sent[SLOTS];            /* Writes on their way to the store. */
byte expected[SLOTS];
byte waitsFor[WRITERS];      /* The slot whose answer each transaction waits for, plus 1; 0: none. */
mtype answer[WRITERS] = Waiting;
bool notWritten[WRITERS];    /* The transaction told its operator that it wrote nothing and never will. */
bool wrote[WRITERS];
byte patchOf[WRITERS];

proctype transaction(byte self; byte patch; byte first)
{
    byte seen, base, tries, slot;
    bool uncertain;
    base = 0;
read:
    atomic {
        if
        :: !storeUp ->
            if
#ifdef OUTAGE_SAYS_REFUSED
            :: true -> goto refused
#else
            :: uncertain -> goto unknown
            :: else -> goto refused
#endif
            fi
        :: storeUp ->
            seen = storeNumber;
            if
            :: base == 0 -> base = (self == 1 -> seen : first)
            :: else
            fi;
#ifndef NO_PATCH_ID
            if
            :: idAt[seen] == patch -> goto accepted /* WINDOW is 1: only the newest id is kept. */
            :: else
            fi;
#endif
#ifndef FORGOTTEN_ID_APPLIED
            if
            :: first + WINDOW < seen -> goto forgotten
            :: else
            fi;
#endif
            if
            :: base != seen ->
                assert(applied[patch] == 0); /* Stale, and no earlier send of this patch took effect. */
                goto refused
            :: else
            fi
        fi
    }
    atomic {
        if
        :: tries == TRIES -> goto unknown
        :: else
        fi;
        slot = self * TRIES + tries;
        tries++;
        expected[slot] = seen;
        sent[slot] = true;
        waitsFor[self] = slot + 1;
        uncertain = true
    }
    atomic {
        if
        :: answer[self] == Written -> answer[self] = Waiting; goto accepted
        :: answer[self] == Refused -> answer[self] = Waiting; goto read
        :: true -> /* No answer in time; a later one is ignored. */
            waitsFor[self] = 0;
            answer[self] = Waiting;
            goto read
        fi
    }
refused:
    atomic {
        /* Certainly not written: no write of this transaction took effect, and none will. */
        notWritten[self] = true;
        assert(!wrote[self]);
        goto end
    }
accepted:
    assert(applied[patch] == 1);
forgotten:
unknown:
end:
    atomic { seen = 0; base = 0; tries = 0; slot = 0; uncertain = false }
}

inline reply(result)
{
    if
    :: waitsFor[slot / TRIES] == slot + 1 ->
        waitsFor[slot / TRIES] = 0;
        answer[slot / TRIES] = result
    :: true /* The reply is lost, or nobody waits for it. */
    fi
}

proctype store()
{
    byte slot;
    do
    :: atomic {
        select(slot : 0 .. 5);
        if
        :: sent[slot] ->
            sent[slot] = false;
            if
            :: !storeUp /* The write never arrives. */
#ifdef NO_CONDITION
            :: storeUp ->
#else
            :: storeUp && expected[slot] != storeNumber ->
                reply(Refused)
            :: storeUp && expected[slot] == storeNumber ->
#endif
                storeNumber++;
                assert(expected[slot] == storeNumber - 1);
                idAt[storeNumber] = patchOf[slot / TRIES];
                applied[patchOf[slot / TRIES]]++;
                assert(applied[patchOf[slot / TRIES]] <= 1);
                assert(!notWritten[slot / TRIES]);
                wrote[slot / TRIES] = true;
                reply(Written)
            fi;
            expected[slot] = 0
        :: else
        fi;
        slot = 0
    }
    :: atomic { storeUp && outageLeft -> storeUp = false; outageLeft = false }
    :: atomic { !storeUp -> storeUp = true }
    od
}

init {
    atomic {
        patchOf[0] = 1;
        patchOf[1] = 1;
        patchOf[2] = 2;
        run store();
        run transaction(0, 1, 1);
        run transaction(1, 1, 1);
        run transaction(2, 2, 1)
    }
}
