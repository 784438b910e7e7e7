#pragma once

#include <string>

namespace Backend
{
/// Effect: ask a replica for its report without giving it work.
struct health_request {
    std::string replica;
    std::string address;
};
} // namespace Backend
