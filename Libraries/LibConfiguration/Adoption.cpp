#include "LibConfiguration/Adoption.h"

#include "LibConfiguration/Parse.h"

#include <algorithm>

namespace Configuration
{
std::uint64_t joinNumbers(std::uint64_t left, std::uint64_t right)
{
    return std::max(left, right);
}

bool shouldAdopt(std::uint64_t current, std::uint64_t offered)
{
    return joinNumbers(current, offered) != current;
}

parsed_document parseOfferedDocument(std::string_view text)
{
    parsed_document offered = parseDocument(text);
    if (offered.findings.empty() && offered.document.number == 0) {
        offered.findings.push_back({"/number", "must be at least 1"});
    }
    return offered;
}
} // namespace Configuration
