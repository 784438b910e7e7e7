#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Forward
{
/// The daemons among which the request limits of replicas are divided, by the hashes of their names.
struct limit_sharers {
    std::map<std::string, std::vector<std::uint64_t>> byRegion; ///< This daemon included.
    double fraction = 1.0; ///< Fraction of a limit that these daemons share.
};
} // namespace Forward
