#pragma once

#include "LibForward/ForwardContext.h"
#include "LibForward/ReplicaRegistration.h"
#include "LibForward/TrafficConfiguration.h"
#include "LibMembership/MemberRecord.h"

#include <memory>
#include <string>

/// Small configurations and replicas shared by several tests.
namespace Fixtures
{
/// A scatter-gather route over `shards` services named s0, s1, ... with a target latency of 120 ms and a timeout of
/// 1200 ms.
std::shared_ptr<const Forward::traffic_configuration> scatterGatherConfiguration(std::size_t shards,
                                                                                 double minimumCoverage);

/// A route to the single service s0, with a target latency of 400 ms and a timeout of 4000 ms.
std::shared_ptr<const Forward::traffic_configuration> singleServiceConfiguration(Forward::retry_policy retryPolicy);

/// A context in data centre a of three data centres, each in a region of its own. The retry budget has a ratio of 0.2,
/// a slack of 20 and a window of 10 s.
Forward::forward_context makeContext();

Forward::replica_registration replicaRegistration(const std::string &id, const std::string &service,
                                                  const std::string &dataCentre);

/// The record of the daemon with the given number, which is in one of the data centres dc-0, dc-1, ... by turns.
Membership::member_record memberRecord(std::size_t daemon, std::size_t dataCentres);
} // namespace Fixtures
