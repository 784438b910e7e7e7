#pragma once

#include <string>

namespace Observability
{
/// One label of a metric, such as outcome="answered".
struct metric_label {
    std::string name;
    std::string value;

    auto operator<=>(const metric_label &) const =
        default; // NOLINT(modernize-use-nullptr): a false positive of clang-tidy 14.
};
} // namespace Observability
