#include "Policy/BenchRow.h"

#include <sstream>
#include <utility>

namespace Bench
{
static bench_row makeRow(std::string measure, std::string scenario, double value, std::vector<std::uint64_t> seeds,
                         std::optional<double> baseline)
{
    bench_row row;
    row.measure = std::move(measure);
    row.scenario = std::move(scenario);
    row.value = value;
    row.seeds = std::move(seeds);
    row.baseline = baseline;
    return row;
}

static std::string boundText(const char *sign, double bound)
{
    std::ostringstream text;
    text << sign << ' ' << bound;
    return text.str();
}

bench_row atMost(std::string measure, std::string scenario, double value, double most, std::vector<std::uint64_t> seeds,
                 std::optional<double> baseline)
{
    bench_row row = makeRow(std::move(measure), std::move(scenario), value, std::move(seeds), baseline);
    row.bound = boundText("<=", most);
    row.passed = value <= most; // False for a value that is not a number.
    return row;
}

bench_row atLeast(std::string measure, std::string scenario, double value, double least,
                  std::vector<std::uint64_t> seeds, std::optional<double> baseline)
{
    bench_row row = makeRow(std::move(measure), std::move(scenario), value, std::move(seeds), baseline);
    row.bound = boundText(">=", least);
    row.passed = value >= least;
    return row;
}
} // namespace Bench
