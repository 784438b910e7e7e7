#pragma once

#include "SettingsDelivery.h"

#include <chrono>
#include <optional>
#include <string>

#include <sys/types.h>

/// Runs the daemon as a child process, which the destructor kills if it is still running.
class daemon_process
{
public:
    /// Starts the daemon with a settings file that contains `settings`. Its output is appended to `outputPath`.
    explicit daemon_process(const std::string &settings, const std::string &outputPath = "/dev/null",
                            settings_delivery delivery = settings_delivery::AtStart);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    void signal(int number) const;
    /// Waits until the daemon has begun to read its settings. Returns whether it has.
    [[nodiscard]] bool isReadingSettings();
    void deliverSettings(const std::string &settings);
    /// Replaces the settings file, as the platform does, without sending a signal to the process.
    void rewriteSettings(const std::string &settings) const;
    /// Returns the exit status, or the negative signal number if a signal ended the process; nothing while it runs.
    [[nodiscard]] std::optional<int> exitStatus();

private:
    std::string m_settingsPath;
    pid_t m_process = -1;
    int m_settingsPipe = -1; ///< The daemon reads its settings from it, if they are delivered on request.
    std::optional<int> m_status;
};

/// Returns a loopback port that was free for TCP at the time of the call; 0 on failure.
int freePort();
