#pragma once

#include "Policy/BenchRow.h"

#include <vector>

/// The scenarios of the policy bench, one source file each. Main.cpp lists them by name.
namespace Bench
{
/// One shard answer in a hundred takes 20 times as long, at both deployments' sizes and 60% load.
[[nodiscard]] std::vector<bench_row> runStragglers();
} // namespace Bench
