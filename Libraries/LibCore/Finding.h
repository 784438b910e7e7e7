#pragma once

#include <string>

namespace Core
{
/// One fault found in some input, with its place. Checks collect every finding and report them together.
struct finding {
    std::string path; ///< JSON pointer in a document, or the name of a flag.
    std::string message; ///< What is wrong and what is allowed.
};
} // namespace Core
