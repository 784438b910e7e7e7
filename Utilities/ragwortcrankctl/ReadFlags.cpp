#include "ReadFlags.h"

#include <gflags/gflags.h>

static void setFlag(const std::string &name, const std::string &value, const std::string &type,
                    std::vector<Core::finding> &findings)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        findings.push_back({"--" + name, "value \"" + value + "\" must be of type " + type});
    }
}

std::vector<std::string> readFlags(const std::vector<std::string> &arguments, std::vector<Core::finding> &findings)
{
    std::vector<std::string> others;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const std::string &argument = arguments[index];
        const std::size_t start = argument.find_first_not_of('-');
        if (!argument.starts_with("-") || start == std::string::npos) {
            others.push_back(argument);
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(start, equals == std::string::npos ? equals : equals - start);
        gflags::CommandLineFlagInfo known;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &known)) {
            findings.push_back({"--" + name, "is not a known flag; --help lists them"});
        } else if (equals != std::string::npos) {
            setFlag(name, argument.substr(equals + 1), known.type, findings);
        } else if (index + 1 < arguments.size()) {
            setFlag(name, arguments[++index], known.type, findings);
        } else {
            findings.push_back({"--" + name, "needs a value, as in --" + name + "=VALUE"});
        }
    }
    return others;
}
