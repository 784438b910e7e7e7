#include "CommandGroup.h"
#include "Commands.h"
#include "LibPlatform/ReadSecret.h"
#include "Print.h"
#include "ReadFlags.h"
#include "Session.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(daemon, "127.0.0.1:8080",
              "addresses of daemons, separated by commas, tried in turn; also RAGWORTCRANK_DAEMON");
DEFINE_string(output, "text", "text or json");
DEFINE_int32(operator_key_fd, -1, "file descriptor to read the operator key from; -1: RAGWORTCRANK_OPERATOR_KEY");

static constexpr std::array groups {
    command_group {"config",
                   "  config get                        prints the configuration in force\n"
                   "  config patch FILE                 applies an RFC 7396 patch; --base=NUMBER --patch_id=ID\n"
                   "  config validate FILE              checks a whole document without a daemon\n",
                   runConfigCommand},
    command_group {"change",
                   "  change status NUMBER              prints how far a change has come, and which VMs are missing\n"
                   "  change wait NUMBER                waits for it; --until=in_force|done --wait_seconds=N\n",
                   runChangeCommand},
    command_group {"team",
                   "  team list                         prints the teams and their shares\n"
                   "  team set-share TEAM SHARE         sets a team's part of the pool, 0 to 1; --retry=N\n",
                   runTeamCommand},
    command_group {"data-centre",
                   "  data-centre list                  prints the data centres\n"
                   "  data-centre out|in NAME           takes one out of service or brings it back; --retry=N\n",
                   runDataCentreCommand},
    command_group {"rollout",
                   "  rollout start SERVICE VERSION     begins a rollout; --start_in=S --deadline_in=S --retry=N\n"
                   "  rollout status [SERVICE]          prints the rollouts\n"
                   "  rollout take-back SERVICE         takes a rollout back for good; --retry=N\n",
                   runRolloutCommand},
    command_group {"status", "  status                            prints a daemon's view of the live VMs\n",
                   runStatusCommand},
    command_group {"accounts", "  accounts                          prints what each team drew\n", runAccountsCommand},
};

static constexpr const char *commonHelp =
    "flags for every command:\n"
    "  --daemon=ADDRESS[,ADDRESS...]     daemons, tried in turn; also RAGWORTCRANK_DAEMON\n"
    "  --output=text|json\n"
    "  --operator_key_fd=N               reads the operator key there, in place of RAGWORTCRANK_OPERATOR_KEY\n"
    "exit codes: 0 success, 1 failed, 2 usage, 3 stale number, 4 invalid, 5 no daemon reached, 6 unknown whether\n"
    "accepted, 7 taken back, 8 not in time\n";

static const command_group *findGroup(const std::string &name)
{
    const auto found =
        std::find_if(groups.begin(), groups.end(), [&](const command_group &group) { return name == group.name; });
    return found == groups.end() ? nullptr : &*found;
}

static void printHelp(std::ostream &stream, const command_group *only)
{
    stream << "usage: ragwortcrankctl COMMAND [flags]\n";
    for (const command_group &group : groups) {
        if (only == nullptr || only == &group) {
            stream << group.help;
        }
    }
    stream << commonHelp;
}

/// Answers --help before gflags does, which would list the flags without the commands.
static bool answerHelp(const std::vector<std::string> &arguments)
{
    const auto isHelp = [](const std::string &argument) {
        return argument == "--help" || argument == "-h" || argument == "help";
    };
    if (std::none_of(arguments.begin(), arguments.end(), isHelp)) {
        return false;
    }
    printHelp(std::cout, findGroup(arguments.front()));
    return true;
}

static std::string readOperatorKey()
{
    if (FLAGS_operator_key_fd >= 0) {
        return Platform::readSecret(FLAGS_operator_key_fd);
    }
    const char *key = std::getenv("RAGWORTCRANK_OPERATOR_KEY");
    return key == nullptr ? "" : key;
}

static std::vector<std::string> daemonAddresses()
{
    const char *fromEnvironment = std::getenv("RAGWORTCRANK_DAEMON");
    const bool useEnvironment = fromEnvironment != nullptr && gflags::GetCommandLineFlagInfoOrDie("daemon").is_default;
    std::istringstream list(useEnvironment ? fromEnvironment : FLAGS_daemon);
    std::vector<std::string> addresses;
    for (std::string address; std::getline(list, address, ',');) {
        addresses.push_back(address);
    }
    return addresses;
}

static exit_code run(const std::vector<std::string> &arguments)
{
    const command_group *group = arguments.empty() ? nullptr : findGroup(arguments.front());
    if (group == nullptr) {
        printHelp(std::cerr, nullptr);
        return exit_code::Usage;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return failUsage("--output=" + FLAGS_output + " must be text or json");
    }
    session current {operator_client(daemonAddresses(), readOperatorKey()),
                     FLAGS_output == "json" ? output_format::Json : output_format::Text};
    return group->run(current, {arguments.begin() + 1, arguments.end()});
}

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && answerHelp(arguments)) {
        return 0;
    }
    std::vector<Core::finding> findings;
    const std::vector<std::string> command = readFlags(arguments, findings);
    for (const Core::finding &finding : findings) {
        std::cerr << finding.path << ": " << finding.message << '\n';
    }
    if (!findings.empty()) {
        return static_cast<int>(exit_code::Usage);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return static_cast<int>(run(command));
}
