#pragma once

#include <map>
#include <string>

namespace Soak
{
/// What a caller received. Names of header fields are in lower case.
struct caller_answer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};
} // namespace Soak
