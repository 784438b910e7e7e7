#pragma once

#include <string>

namespace Soak
{
/// One answer that a stand-in replica gave to one request.
struct part {
    std::string service;
    std::string body;
    bool isFailure = false; ///< It has a digest but is no success.
};
} // namespace Soak
