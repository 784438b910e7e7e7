#include "LibFront/RetryAfter.h"

#include "LibForward/RetryAfter.h"

#include <cstdio>

namespace Front
{
std::string retryAfterText(Forward::refusal_cause cause, Core::random_engine &random)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", Core::toSeconds(Forward::randomRetryAfter(cause, random)));
    return text;
}
} // namespace Front
