#pragma once

#include <string>

namespace Backend
{
/// What a backend server says about itself beside each answer.
struct replica_report {
    std::string incarnation; ///< Changes each time the backend server process starts.
    double load = 0.0;
    bool cold = false;
    bool leaving = false;
};
} // namespace Backend
