#pragma once

#include <string>

namespace Observability
{
/// One named value of a span. Keys and secrets must never be passed in one.
struct span_tag {
    std::string name;
    std::string value;
};
} // namespace Observability
