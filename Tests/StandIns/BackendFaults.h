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
    bool cold = false; ///< Takes 3 times as long, and 20 times with more than one request at once.
    bool hidesCold = false; ///< Does not report that it is cold.
    bool crossing = false; ///< Answers carry the id of another request.
    bool shedding = false; ///< Answers not_run.
    std::set<std::string> goneSnapshots;
};
} // namespace StandIns
