#pragma once

#include "Policy/BenchRow.h"

#include <vector>

namespace Bench
{
/// The store down for an hour, replies lost after the write, writers paused and VMs replaced meanwhile.
[[nodiscard]] std::vector<bench_row> runStoreOutage();
} // namespace Bench
