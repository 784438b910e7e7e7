#pragma once

#include "LibWire/PeerHandlers.h"

struct daemon_state;
class membership_loop;

/// Joins what serves the peers' requests: gossip and configurations from membership, the rest as set in the daemon's
/// state. Branches count as running work.
[[nodiscard]] Wire::peer_handlers peerHandlersOf(daemon_state &daemon, membership_loop &membership);
