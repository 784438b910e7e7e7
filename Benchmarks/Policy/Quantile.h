#pragma once

#include "LibCore/Time.h"
#include "Policy/QueryRecord.h"

#include <algorithm>
#include <vector>

namespace Bench
{
/// Returns the latency in milliseconds that this part of the records stays within; only records that started from
/// `from` until `until` count.
[[nodiscard]] inline double latencyQuantile(const std::vector<query_record> &records, double part,
                                            Core::time_point from = Core::time_point::min(),
                                            Core::time_point until = Core::time_point::max())
{
    std::vector<double> milliseconds;
    for (const query_record &record : records) {
        if (record.startedAt >= from && record.startedAt < until) {
            milliseconds.push_back(Core::toMilliseconds(record.latency));
        }
    }
    if (milliseconds.empty()) {
        return 0.0;
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(milliseconds.size()));
    return milliseconds[std::min(index, milliseconds.size() - 1)];
}
} // namespace Bench
