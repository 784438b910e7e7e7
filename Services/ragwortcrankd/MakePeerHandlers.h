#pragma once

#include "LibWire/PeerHandlers.h"

struct daemon_state;
class membership_loop;

/// Returns the handlers for requests of peers: membership handles gossip and configuration reads, the others come from
/// the daemon's state. Branches are counted as running work.
[[nodiscard]] Wire::peer_handlers makePeerHandlers(daemon_state &daemon, membership_loop &membership);
