#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Processes
{
/// What became of the queries of a load.
struct load_tally {
    std::map<std::string, std::uint64_t> outcomes; ///< By outcome; "cut" counts queries whose connection broke.
    std::vector<double> milliseconds; ///< Latency of each query that was answered or partial.
    std::map<std::string, std::uint64_t> reasons; ///< Why queries were refused or incomplete, for failure messages.
    double leastCoverage = 1.0; ///< Of answered and partial queries.
    std::uint64_t wrongAnswers = 0; ///< Items that the stand-ins do not hold, or a false coverage.
    std::map<std::string, std::uint64_t> snapshots; ///< Answers by snapshot.

    /// Lists the reasons with their counts, for failure messages.
    [[nodiscard]] std::string reasonText() const
    {
        std::string text;
        for (const auto &[reason, times] : reasons) {
            text += std::to_string(times) + " x \"" + reason + "\"; ";
        }
        return text;
    }

    [[nodiscard]] std::uint64_t count(const std::string &outcome) const
    {
        const auto found = outcomes.find(outcome);
        return found == outcomes.end() ? 0 : found->second;
    }
};
} // namespace Processes
