#include "LibHttp/HeaderSyntax.h"

#include <algorithm>

namespace Http
{
static bool isTokenCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isLetter || isDigit || marks.find(character) != std::string_view::npos;
}

bool isFieldName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool hasFoldedLine(std::string_view text)
{
    return text.find("\r\n ") != std::string_view::npos || text.find("\r\n\t") != std::string_view::npos;
}
} // namespace Http
