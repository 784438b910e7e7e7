#pragma once

struct daemon_state;
class membership_loop;

/// Blocks the stop signals. Must be called before any thread starts, so that only the functions below receive them.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// Leaves the fleet, continues to serve until no caller can still have this daemon's address, and waits until no work
/// is running. Ends early on a second signal or at the drain limit. Returns whether no running work was aborted.
bool drain(daemon_state &daemon, membership_loop &membership);
