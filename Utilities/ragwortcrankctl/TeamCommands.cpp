#include "Commands.h"
#include "EditConfiguration.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <iostream>

namespace json = boost::json;

static exit_code listTeams(session &current)
{
    exit_code code = exit_code::Success;
    const auto document = readConfiguration(current, code);
    if (!document) {
        return code;
    }
    json::array rows;
    for (const auto &[name, team] : document->teams) {
        rows.push_back(json::object {{"team", name}, {"share", team.share}});
        if (current.format == output_format::Text) {
            std::cout << name << "  share " << team.share << '\n';
        }
    }
    if (current.format == output_format::Json) {
        std::cout << json::serialize(rows) << '\n';
    }
    return code;
}

static exit_code setShare(session &current, const std::string &team, const std::string &text)
{
    char *end = nullptr;
    const double share = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(share >= 0.0 && share <= 1.0)) {
        return failUsage("share \"" + text + "\" must be a number from 0 to 1");
    }
    return editConfiguration(current, [&](const auto &document) -> std::optional<json::object> {
        if (!document.teams.contains(team)) {
            std::cerr << "team \"" << team << "\" does not exist\n";
            return std::nullopt;
        }
        return json::object {{"teams", json::object {{team, json::object {{"share", share}}}}}};
    });
}

exit_code runTeamCommand(session &current, const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "list") {
        return listTeams(current);
    }
    if (arguments.size() == 3 && arguments[0] == "set-share") {
        return setShare(current, arguments[1], arguments[2]);
    }
    return failUsage("usage: ragwortcrankctl team list | set-share TEAM SHARE");
}
