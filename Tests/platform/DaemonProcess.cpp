#include "DaemonProcess.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

daemon_process::daemon_process(const std::string &settings, const std::string &outputPath, settings_delivery delivery)
{
    char path[] = "/tmp/ragwortcrank-settings-XXXXXX";
    const int file = mkstemp(path);
    if (file < 0) {
        throw std::runtime_error("cannot create a temporary settings file");
    }
    close(file);
    m_settingsPath = path;
    if (delivery == settings_delivery::AtStart) {
        std::ofstream(m_settingsPath) << settings;
    } else if (unlink(path) != 0 || mkfifo(path, S_IRUSR | S_IWUSR) != 0) {
        throw std::runtime_error("cannot create a pipe for the settings");
    }
    std::string variable = "RAGWORTCRANK_BOOT=" + m_settingsPath;
    std::string program = DAEMON_PROGRAM;
    char *arguments[] = {program.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure = posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start the daemon process");
    }
}

daemon_process::~daemon_process()
{
    if (!exitStatus()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    std::remove(m_settingsPath.c_str());
    if (m_settingsPipe >= 0) {
        close(m_settingsPipe);
    }
}

bool daemon_process::isReadingSettings()
{
    constexpr std::chrono::seconds patience {10};
    const auto end = std::chrono::steady_clock::now() + patience;
    // The pipe can be opened for writing as soon as the daemon opens it for reading.
    while (m_settingsPipe < 0 && std::chrono::steady_clock::now() < end) {
        m_settingsPipe = open(m_settingsPath.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    }
    return m_settingsPipe >= 0;
}

void daemon_process::deliverSettings(const std::string &settings)
{
    // The daemon reads the settings again later, then from a file.
    std::remove(m_settingsPath.c_str());
    rewriteSettings(settings);
    if (exitStatus()) {
        throw std::runtime_error("the daemon has ended before it could read its settings");
    }
    if (write(m_settingsPipe, settings.data(), settings.size()) != static_cast<ssize_t>(settings.size())) {
        throw std::runtime_error("cannot deliver the settings");
    }
    close(m_settingsPipe);
    m_settingsPipe = -1;
}

void daemon_process::signal(int number) const
{
    kill(m_process, number);
}

void daemon_process::rewriteSettings(const std::string &settings) const
{
    std::ofstream(m_settingsPath) << settings;
}

std::optional<int> daemon_process::exitStatus()
{
    int status = 0;
    if (!m_status && waitpid(m_process, &status, WNOHANG) == m_process) {
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_status;
}

int freePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool bound = bind(probe, reinterpret_cast<sockaddr *>(&address), size) == 0
        && getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    close(probe);
    return bound ? ntohs(address.sin_port) : 0;
}
