// Adopting the configuration: watches, hand-on by gossip, fresh VMs with the store down, and the report in_force.
// faults: ADOPT_ANY_NUMBER OLD_INCARNATION_CONFIRMS REPORT_WITHOUT_ALL CONFIRM_BEFORE_ADOPTION SERVE_WITHOUT_CONFIGURATION
//
// Three VMs and a store whose number rises from 1 to 2. Any VM may go without reading it for any time, which is what
// an outage of the store looks like, and then learns from its peers alone. Documents and confirmations travel in
// messages that may be late. The second VM may be replaced once and then remembers nothing. The first VM
// reports in_force; the report is about the incarnations whose confirmations it holds.
//
// Guard in the model                   Function that implements it
// only a higher number is adopted      Configuration::joinNumbers, active_configuration::adopt
// a fresh VM is not ready              handleReadiness
// every listed VM has confirmed        Configuration::reportChange
// newer incarnation replaces older     Membership::mergeRecord

#define VMS 3
#define NEWEST 2

byte storeNumber = 1;

byte inForce[VMS];           /* 0: none yet. */
byte incarnation[VMS];
byte carried[VMS];           /* The document on its way to each VM; 0: none. */
byte everHeld[6];            /* Highest number of each incarnation: VM * 2 + incarnation. */

byte heardNumber[VMS];       /* The reporter's view. */
byte heardIncarnation[VMS];
byte messageNumber[VMS];     /* A confirmation on its way to the reporter; 0: none. */
byte messageIncarnation[VMS];

inline adopt(vm)
{
#ifdef ADOPT_ANY_NUMBER
    if
    :: true ->
#else
    if
    :: carried[vm] > inForce[vm] ->
#endif
        assert(carried[vm] >= inForce[vm]);
        inForce[vm] = carried[vm];
        everHeld[vm * 2 + incarnation[vm]] = inForce[vm]
    :: else
    fi;
    carried[vm] = 0
}

proctype virtualMachine(byte self)
{
    byte peer;
    do
    :: atomic { carried[self] == 0 -> carried[self] = storeNumber } /* Watch or check. */
    :: atomic {
        carried[self] == 0 ->
        select(peer : 0 .. 2);
        carried[self] = (peer == self -> 0 : inForce[peer]); /* Gossip. */
        peer = 0
    }
    :: atomic { carried[self] > 0 -> adopt(self) }
#ifdef SERVE_WITHOUT_CONFIGURATION
    :: assert(inForce[self] > 0) /* Serves a query. */
#else
    :: atomic { inForce[self] > 0 -> assert(inForce[self] > 0) }
#endif
    :: atomic {
        messageNumber[self] == 0 ->
#ifdef CONFIRM_BEFORE_ADOPTION
        messageNumber[self] = (carried[self] > inForce[self] -> carried[self] : inForce[self]);
#else
        messageNumber[self] = inForce[self];
#endif
        messageIncarnation[self] = incarnation[self]
    }
    :: atomic {
        self == 1 && incarnation[self] == 0 -> /* Replaced: the new process remembers nothing. */
        incarnation[self] = 1;
        inForce[self] = 0;
        carried[self] = 0
    }
    od
}

inline hear(vm)
{
    if
#ifdef OLD_INCARNATION_CONFIRMS
    :: true ->
        heardNumber[vm] = (messageNumber[vm] > heardNumber[vm] -> messageNumber[vm] : heardNumber[vm]);
        heardIncarnation[vm] = (messageIncarnation[vm] > heardIncarnation[vm] -> messageIncarnation[vm] : heardIncarnation[vm])
#else
    :: messageIncarnation[vm] > heardIncarnation[vm] ->
        heardIncarnation[vm] = messageIncarnation[vm];
        heardNumber[vm] = messageNumber[vm]
    :: messageIncarnation[vm] == heardIncarnation[vm] && messageNumber[vm] > heardNumber[vm] ->
        heardNumber[vm] = messageNumber[vm]
    :: else
#endif
    fi;
    messageNumber[vm] = 0
}

proctype reporter()
{
    byte vm;
    do
    :: atomic {
        select(vm : 0 .. 2);
        if
        :: messageNumber[vm] > 0 -> hear(vm)
        :: else
        fi;
        vm = 0
    }
    :: atomic {
        /* The report for the newest number. */
#ifdef REPORT_WITHOUT_ALL
        heardNumber[0] >= NEWEST && heardNumber[1] >= NEWEST ->
#else
        heardNumber[0] >= NEWEST && heardNumber[1] >= NEWEST && heardNumber[2] >= NEWEST ->
#endif
        assert(storeNumber >= NEWEST);
        assert(everHeld[0 + heardIncarnation[0]] >= NEWEST);
        assert(everHeld[2 + heardIncarnation[1]] >= NEWEST);
        assert(everHeld[4 + heardIncarnation[2]] >= NEWEST)
    }
    od
}

proctype store()
{
    do
    :: atomic { storeNumber < NEWEST -> storeNumber++ }
    od
}

init {
    atomic {
        run store();
        run virtualMachine(0);
        run virtualMachine(1);
        run virtualMachine(2);
        run reporter()
    }
}
