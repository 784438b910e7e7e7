#include "LibFront/RetryAfter.h"

#include <cstdio>

namespace Front
{
std::string retryAfterText(Core::duration delay)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", Core::toSeconds(delay));
    return text;
}
} // namespace Front
