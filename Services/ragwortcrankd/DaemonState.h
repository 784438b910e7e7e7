#pragma once

#include "ActiveConfiguration.h"
#include "AdmissionControl.h"
#include "ControlHooks.h"
#include "DaemonMetrics.h"
#include "DrainControl.h"
#include "GossipExchange.h"
#include "LibObservability/TraceRecorder.h"
#include "LibWire/PeerHandlers.h"
#include "RolloutShards.h"
#include "ServiceShards.h"
#include "Settings.h"

#include <cstdint>
#include <string>

namespace Wire
{
class peer_network;
}

class membership_loop;
class at_most_once_gate;
class share_exchange;

/// The state shared by the daemon's threads. Each member does its own locking.
struct daemon_state {
    settings daemonSettings; ///< Not changed after start-up.
    std::uint64_t incarnation = 0; ///< Start time in nanoseconds of civil time; not changed after start-up.
    active_configuration configuration;
    service_shards services;
    daemon_metrics metrics;
    Observability::trace_recorder traces {4096};
    admission_control admission;
    rollout_shards rollouts;
    control_hooks hooks; ///< Set before the threads start.
    gossip_exchange gossip;
    drain_control drain;
    /// Handlers that run branches and resolve requests; set before the peer network starts.
    Wire::peer_handlers peerHandlers;
    membership_loop *membership = nullptr; ///< Set before the threads start; outlives them.
    at_most_once_gate *once = nullptr; ///< Set before the peer network starts; outlives it.
    share_exchange *shares = nullptr; ///< Set before the threads start; outlives them.
    Wire::peer_network *peers = nullptr; ///< Set before callers are served; outlives the serving of callers.
};
