#pragma once

#include <string>

namespace Core
{
/// One invalid part of an input, with its location. Validation collects all findings and reports them together.
struct finding {
    std::string path; ///< JSON pointer in a document, or the name of a command-line flag.
    std::string message; ///< Description of the problem and of the allowed values.
};
} // namespace Core
