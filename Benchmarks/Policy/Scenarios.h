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

/// Good versions are moved in time and never taken back; bad ones are taken back whenever their fault shows.
[[nodiscard]] std::vector<bench_row> runRollout();
} // namespace Bench
