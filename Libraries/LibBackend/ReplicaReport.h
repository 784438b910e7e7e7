#pragma once

#include <string>

namespace Backend
{
/// The status that a backend server reports with each response.
struct replica_report {
    std::string incarnation; ///< Changes each time the backend server process starts.
    double load = 0.0;
    bool cold = false;
    bool leaving = false;
};
} // namespace Backend
