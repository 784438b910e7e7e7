#include "LibCore/Verify.h"

#include <cstdio>
#include <cstdlib>

namespace Core
{
void verificationFailed(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "%s:%d: invariant violated: %s\n", file, line, expression);
    std::abort();
}
} // namespace Core
