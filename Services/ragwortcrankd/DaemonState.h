#pragma once

#include "ActiveConfiguration.h"
#include "ControlHooks.h"
#include "ServiceShards.h"
#include "Settings.h"

#include <string>

/// What the daemon's threads share. Each member guards itself.
struct daemon_state {
    settings daemonSettings; ///< Not changed after the start.
    active_configuration configuration;
    service_shards services;
    control_hooks hooks; ///< Set before the threads start.
};
