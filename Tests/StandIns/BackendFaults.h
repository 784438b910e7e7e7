#pragma once

#include "LibCore/Time.h"

#include <set>
#include <string>

namespace StandIns
{
/// What a stand-in backend server does beside answering.
struct backend_faults {
    Core::duration serviceTime {std::chrono::milliseconds(5)};
    double stragglerPart = 0.0; ///< Part of the requests that take 20 times as long.
    bool silent = false; ///< Requests are taken and never answered.
    bool failing = false; ///< Answers status 500.
    bool leaving = false;
    bool cold = false;
    bool shedding = false; ///< Answers not_run.
    std::set<std::string> goneSnapshots;
};
} // namespace StandIns
