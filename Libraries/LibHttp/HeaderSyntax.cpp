#include "LibHttp/HeaderSyntax.h"

namespace Http
{
bool hasFoldedLine(std::string_view text)
{
    return text.find("\r\n ") != std::string_view::npos || text.find("\r\n\t") != std::string_view::npos;
}
} // namespace Http
