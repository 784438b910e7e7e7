#pragma once

#include <string>

namespace Observability
{
/// One named value of a span. It must never contain a key or a secret.
struct span_tag {
    std::string name;
    std::string value;
};
} // namespace Observability
