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

/// Brings the replica list in line with a newer configuration; what is known of kept replicas stays.
void applyConfiguration(service_state &service, const Configuration::configuration_document &document,
                        const Configuration::service_settings &settings, Core::time_point now);

/// Records that a request was handed to a connection of the replica.
void recordSent(service_state &service, std::size_t replica, Core::time_point now);

/// Records a whole answer and what the replica said of itself.
void recordAnswer(service_state &service, std::size_t replica, const replica_report &report, Core::duration latency,
                  Core::time_point now);

/// Records a request that ended without an answer. A silence is the connection's fault, and the replica is not avoided.
void recordFailure(service_state &service, std::size_t replica, const failed_attempt &failed, Core::time_point now);

/// Records that another replica answered first, `elapsed` after this one was asked. Without it a replica whose slow
/// answers are always overtaken would look fast.
void recordOvertaken(service_state &service, std::size_t replica, Core::duration elapsed, Core::time_point now);

/// Records a request that this daemon cancelled because another replica answered first.
void recordCancelled(service_state &service, std::size_t replica, Core::time_point now);
} // namespace Backend
