#pragma once

#include "LibObservability/LogLevel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// The settings of one daemon, checked.
struct settings {
    std::string virtualMachine; ///< This VM's name in the platform's list.
    std::string dataCentre;
    std::string listenAddress; ///< IP address for callers and peers.
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::string storeUrl;
    std::string operatorKey; ///< From the environment or a file descriptor; never logged.
    std::vector<std::string> peers; ///< Peer addresses to start from while the store is down.
    std::chrono::seconds drainLimit {60}; ///< How long a planned stop may take.
    int httpThreads = 2;
    int queryThreads = 2;
    double traceSamplePart = 0.01; ///< Part of the queries without a caller's trace that spans are recorded for.
    Observability::log_level logLevel = Observability::log_level::Info;
};
