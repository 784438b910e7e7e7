#pragma once

#include <chrono>
#include <string>

namespace Soak
{
/// One broken promise.
struct finding {
    std::chrono::milliseconds at; ///< Since the start of the run.
    std::string rule;
    std::string request; ///< Its id; empty if it is about no single one.
    std::string text;
};
} // namespace Soak
