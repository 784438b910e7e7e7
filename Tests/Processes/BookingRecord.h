#pragma once

#include <string>

namespace Processes
{
/// What a caller was told about one booking, over all of its tries.
struct booking_record {
    std::string requestId;
    bool answered = false;
    bool saidNotRun = false;
    bool unknown = false; ///< Also a connection that broke.
};
} // namespace Processes
