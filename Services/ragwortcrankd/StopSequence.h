#pragma once

struct daemon_state;
class membership_loop;

/// Blocks the stop signals. Called before any thread starts, so that only the functions below take them.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// Leaves the fleet's lists, serves on until no caller can still hold this daemon's address, and waits until nothing
/// runs. Ends sooner on a second signal or at the drain limit. Returns whether nothing was cut.
bool drain(daemon_state &daemon, membership_loop &membership);
