#include "Support/ProcessorTime.h"

#include <algorithm>
#include <ctime>

namespace Bench
{
static Core::duration readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

Core::duration threadProcessorTime()
{
    return readClock(CLOCK_THREAD_CPUTIME_ID);
}

Core::duration processProcessorTime()
{
    return readClock(CLOCK_PROCESS_CPUTIME_ID);
}

Core::duration measureRuns(int runs, const std::function<void()> &work)
{
    constexpr int tries = 3;
    Core::duration least = Core::duration::max();
    for (int attempt = 0; attempt < tries; ++attempt) {
        const Core::duration start = threadProcessorTime();
        for (int run = 0; run < runs; ++run) {
            work();
        }
        least = std::min(least, (threadProcessorTime() - start) / runs);
    }
    return least;
}
} // namespace Bench
