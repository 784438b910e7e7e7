#pragma once

#include <string>

namespace Backend
{
/// Effect: request a replica's report without sending it a query.
struct health_request {
    std::string replica;
    std::string address;
};
} // namespace Backend
