#pragma once

#include <string>

namespace Observability
{
/// One label of a metric, as in outcome="answered".
struct metric_label {
    std::string name;
    std::string value;

    auto operator<=>(const metric_label &) const =
        default; // NOLINT(modernize-use-nullptr): a false report of clang-tidy 14.
};
} // namespace Observability
