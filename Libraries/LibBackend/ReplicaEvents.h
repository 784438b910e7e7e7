#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Configuration
{
struct configuration_document;
struct service_settings;
} // namespace Configuration

namespace Backend
{
struct failed_attempt;
struct replica_report;
struct service_state;

/// Updates the replica table to a newer configuration. The recorded state of replicas that remain is kept.
void applyConfiguration(service_state &service, const Configuration::configuration_document &document,
                        const Configuration::service_settings &settings, Core::time_point now);

/// Records that a request was passed to a connection of the replica.
void recordSent(service_state &service, std::size_t replica, Core::time_point now);

/// Records a complete response and the replica's report.
void recordResponse(service_state &service, std::size_t replica, const replica_report &report, Core::duration latency,
                    Core::time_point now);

/// Records a request that ended without a usable response. A response timeout is attributed to the connection, so the
/// replica is not avoided because of it.
void recordFailure(service_state &service, std::size_t replica, const failed_attempt &failed, Core::time_point now);

/// Records that another replica responded first, `elapsed` after the request was sent to this one. Otherwise a replica
/// whose slow responses are always overtaken by hedges would appear fast.
void recordOvertaken(service_state &service, std::size_t replica, Core::duration elapsed, Core::time_point now);

/// Records a request that this daemon cancelled because another replica responded first.
void recordCancelled(service_state &service, std::size_t replica, Core::time_point now);
} // namespace Backend
