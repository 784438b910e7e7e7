#include "Processes/ChildProcess.h"

#include "LibCore/Verify.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace Processes
{
static std::vector<char *> pointers(std::vector<std::string> &texts)
{
    std::vector<char *> result;
    result.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments,
                             const std::vector<std::string> &environment, const std::string &logPath)
{
    const std::string path = std::string(RAGWORTCRANK_BUILD_FOLDER) + "/" + program;
    std::vector<std::string> argumentTexts {path};
    argumentTexts.insert(argumentTexts.end(), arguments.begin(), arguments.end());
    std::vector<std::string> environmentTexts = environment;
    const std::vector<char *> argumentPointers = pointers(argumentTexts);
    const std::vector<char *> environmentPointers = pointers(environmentTexts);
    m_id = ::fork();
    VERIFY(m_id >= 0);
    if (m_id == 0) {
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(path.c_str(), argumentPointers.data(), environmentPointers.data());
        ::_exit(127);
    }
}

child_process::~child_process()
{
    if (!m_exitCode) {
        signal(SIGKILL);
        waitForExit(std::chrono::seconds(5));
    }
}

void child_process::signal(int number) const
{
    if (!m_exitCode) {
        ::kill(m_id, number);
    }
}

std::optional<int> child_process::waitForExit(Core::duration longest)
{
    const Core::time_point until = std::chrono::steady_clock::now() + longest;
    while (!m_exitCode) {
        int status = 0;
        if (::waitpid(m_id, &status, WNOHANG) == m_id) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= until) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return m_exitCode;
}
} // namespace Processes
