#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <sys/types.h>

/// The real daemon as a process of its own, ended by its id when the test ends.
class daemon_process
{
public:
    /// Starts the program with a settings file of the given text; its output is appended to a file.
    explicit daemon_process(const std::string &settings, const std::string &outputPath = "/dev/null");
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    void signal(int number) const;
    /// Replaces the settings file, as the platform does; the process is not told.
    void rewriteSettings(const std::string &settings) const;
    /// The exit status once the process has ended; nothing while it runs.
    [[nodiscard]] std::optional<int> exitStatus();

private:
    std::string m_settingsPath;
    pid_t m_process = -1;
    std::optional<int> m_status;
};

/// A port that was free a moment ago, for TCP and UDP.
int freePort();
