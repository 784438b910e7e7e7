#include "ConfigCommands.h"
#include "OperatorClient.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(daemon, "127.0.0.1:8080", "address of any daemon; also RAGWORTCRANK_DAEMON");

static exit_code run(const std::vector<std::string> &arguments)
{
    const char *key = std::getenv("RAGWORTCRANK_OPERATOR_KEY");
    operator_client client(FLAGS_daemon, key == nullptr ? "" : key);
    if (!arguments.empty() && arguments[0] == "config") {
        return runConfigCommand(client, {arguments.begin() + 1, arguments.end()});
    }
    std::cerr << gflags::ProgramUsage() << '\n';
    return exit_code::Usage;
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("ragwortcrankctl config get | patch FILE --base=NUMBER | validate FILE\n"
                            "The operator key comes from RAGWORTCRANK_OPERATOR_KEY.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const char *daemon = std::getenv("RAGWORTCRANK_DAEMON");
        daemon != nullptr && gflags::GetCommandLineFlagInfoOrDie("daemon").is_default) {
        FLAGS_daemon = daemon;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return static_cast<int>(run({argv + 1, argv + argc}));
}
