#pragma once

#include "LibObservability/LogLevel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// The validated settings of one daemon.
struct settings {
    std::string virtualMachine; ///< This VM's name in the platform's list.
    std::string dataCentre;
    std::string listenAddress; ///< IP address for callers and peers.
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::string storeUrl;
    std::string operatorKey; ///< From the environment or a file descriptor; never logged.
    std::vector<std::string> peers; ///< Peer addresses to contact at start-up while the store is unavailable.
    std::chrono::seconds drainLimit {60}; ///< Maximum duration of a planned stop.
    int httpThreads = 2;
    int queryThreads = 2;
    /// Fraction of the queries without a traceparent from the caller for which spans are recorded.
    double traceSampleFraction = 0.01;
    Observability::log_level logLevel = Observability::log_level::Info;
};
