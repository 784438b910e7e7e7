#pragma once

#include "LibCore/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Processes
{
/// A process that a test started. It is killed by its id when the test forgets it.
class child_process
{
public:
    /// Starts a program of the build folder with its output appended to `logPath`.
    child_process(const std::string &program, const std::vector<std::string> &arguments,
                  const std::vector<std::string> &environment, const std::string &logPath);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Sends a signal to exactly this process.
    void signal(int number) const;
    /// Returns the exit code, 128 + the signal's number for a killed process, or nothing if it still runs after
    /// `longest`.
    std::optional<int> waitForExit(Core::duration longest);

private:
    pid_t m_id = -1;
    std::optional<int> m_exitCode;
};
} // namespace Processes
