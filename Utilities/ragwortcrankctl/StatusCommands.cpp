#include "Commands.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace json = boost::json;

static std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Prints a JSON value as indented lines of names and values.
static void printLines(const json::value &value, const std::string &indent)
{
    if (value.is_array()) {
        for (const json::value &element : value.get_array()) {
            printLines(element, indent);
        }
        return;
    }
    if (!value.is_object()) {
        std::cout << indent << textOf(value) << '\n';
        return;
    }
    for (const json::key_value_pair &member : value.get_object()) {
        if (member.value().is_structured()) {
            std::cout << indent << member.key() << ":\n";
            printLines(member.value(), indent + "  ");
        } else {
            std::cout << indent << member.key() << ": " << textOf(member.value()) << '\n';
        }
    }
}

static exit_code show(session &current, const std::string &path)
{
    const Platform::call_outcome outcome = current.client.send("GET", path);
    if (!isAnswered(outcome)) {
        return printFailure(outcome, false);
    }
    boost::system::error_code error;
    const json::value value = json::parse(outcome.response.body, error);
    if (current.format == output_format::Json || error) {
        std::cout << outcome.response.body << '\n';
    } else {
        printLines(value, "");
    }
    return exit_code::Success;
}

exit_code runStatusCommand(session &current, const std::vector<std::string> &arguments)
{
    return arguments.empty() ? show(current, "/v1/operator/status") : failUsage("usage: ragwortcrankctl status");
}

exit_code runAccountsCommand(session &current, const std::vector<std::string> &arguments)
{
    return arguments.empty() ? show(current, "/v1/operator/accounts") : failUsage("usage: ragwortcrankctl accounts");
}
