#pragma once

#include <string>

namespace Query
{
/// One search result.
struct result_item {
    std::string id;
    double score = 0.0; ///< Higher is better.
};
} // namespace Query
