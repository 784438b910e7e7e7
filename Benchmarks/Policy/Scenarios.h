#pragma once

#include "Policy/BenchRow.h"

#include <vector>

/// The scenarios of the policy bench, one source file each. Main.cpp lists them by name.
namespace Bench
{
/// One shard answer in a hundred takes 20 times as long, at both deployments' sizes and 60% load.
[[nodiscard]] std::vector<bench_row> runStragglers();

/// Demand of two teams moves between daemons, and one team lends its capacity and wants it back.
[[nodiscard]] std::vector<bench_row> runTeamShares();

/// Twice the load that the backend servers bear, a tenth of it alerts.
[[nodiscard]] std::vector<bench_row> runAdmission();

/// Good versions are moved in time and never taken back; bad ones are taken back whenever their fault shows.
[[nodiscard]] std::vector<bench_row> runRollout();
/// Replicas that restart, with and without notice, while daemons disagree on who warms them.
[[nodiscard]] std::vector<bench_row> runColdStart();
/// A data centre out for ten minutes and back, all its replicas cold.
[[nodiscard]] std::vector<bench_row> runDataCentreOut();
/// Replicas that leave, told by the configuration or only by themselves.
[[nodiscard]] std::vector<bench_row> runLeaving();
/// Three in ten open connections fall silent at once.
[[nodiscard]] std::vector<bench_row> runSilentConnections();

/// All replicas, or those of one data centre, take five times as long for a while.
[[nodiscard]] std::vector<bench_row> runSlowdown();

/// Coverage claimed against the coverage of the right answers, under faults of every kind.
[[nodiscard]] std::vector<bench_row> runTruth();

/// Twice the capacity is offered; only the query's own part of the defence, without the teams' admission.
[[nodiscard]] std::vector<bench_row> runQueryOverload();

/// Membership and configuration of 590 daemons: losses, slow members, parted regions, replaced VMs.
[[nodiscard]] std::vector<bench_row> runMembership();

/// What is counted the same way on each run at the target's size: allocations, messages, bytes, connections, calls.
[[nodiscard]] std::vector<bench_row> runCounts();
} // namespace Bench
