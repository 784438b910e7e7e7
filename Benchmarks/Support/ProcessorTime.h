#pragma once

#include "LibCore/Time.h"

#include <functional>

namespace Bench
{
/// Processor time that the calling thread has used.
[[nodiscard]] Core::duration threadProcessorTime();
/// Processor time that all threads of the process have used, the kernel's part included.
[[nodiscard]] Core::duration processProcessorTime();

/// Runs `work` several times and returns the thread's processor time of one run, the least of three tries.
[[nodiscard]] Core::duration measureRuns(int runs, const std::function<void()> &work);
} // namespace Bench
