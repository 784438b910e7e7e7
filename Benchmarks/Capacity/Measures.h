#pragma once

#include "Measurement.h"

#include <vector>

namespace Capacity
{
/// Each function measures one role at several sizes.
[[nodiscard]] std::vector<measurement> measureConfiguration();
[[nodiscard]] std::vector<measurement> measureMembership();
[[nodiscard]] std::vector<measurement> measureOwnership();
[[nodiscard]] std::vector<measurement> measureExchanges();
[[nodiscard]] std::vector<measurement> measureQueries();
[[nodiscard]] std::vector<measurement> measureHttp();
[[nodiscard]] std::vector<measurement> measureBranches();
} // namespace Capacity
