#include "LinearFit.h"
#include "Measures.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(only, "",
              "measure only this role: membership, ownership, configuration, exchanges, queries, http, branches");

namespace
{
struct measured_part {
    const char *name;
    std::vector<Capacity::measurement> (*measure)();
};
} // namespace

static void print(const Capacity::measurement &measured)
{
    const Capacity::linear_fit fit = Capacity::fitLine(measured.sizes, measured.values);
    std::printf("%-13s %s, by %s [%s]\n   ", measured.role.c_str(), measured.quantity.c_str(),
                measured.sizeName.c_str(), measured.unit.c_str());
    for (std::size_t index = 0; index < measured.sizes.size(); ++index) {
        std::printf(" %.0f: %.4g", measured.sizes[index], measured.values[index]);
    }
    std::printf("\n    = %.4g + %.4g x size (r2 %.3f); at %.0f: %.4g; at %.0f: %.4g\n", fit.intercept, fit.slope,
                fit.determination, measured.todaySize, fit.at(measured.todaySize), measured.targetSize,
                fit.at(measured.targetSize));
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the slopes that docs/CAPACITY.md is worked out from");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::vector<measured_part> parts {{"configuration", Capacity::measureConfiguration},
                                            {"membership", Capacity::measureMembership},
                                            {"ownership", Capacity::measureOwnership},
                                            {"exchanges", Capacity::measureExchanges},
                                            {"queries", Capacity::measureQueries},
                                            {"http", Capacity::measureHttp},
                                            {"branches", Capacity::measureBranches}};
    for (const measured_part &part : parts) {
        if (!FLAGS_only.empty() && FLAGS_only != part.name) {
            continue;
        }
        for (const Capacity::measurement &measured : part.measure()) {
            print(measured);
        }
    }
    return 0;
}
