#include "Print.h"

#include "LibPlatform/CallOutcome.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace json = boost::json;

exit_code failUsage(const std::string &message)
{
    std::cerr << message << '\n';
    return exit_code::Usage;
}

bool isAnswered(const Platform::call_outcome &outcome)
{
    return outcome.failure == Platform::call_failure::None && outcome.response.status == 200;
}

static exit_code codeOfStatus(int status)
{
    switch (status) {
    case 200:
        return exit_code::Success;
    case 409:
        return exit_code::Stale;
    case 410:
    case 504:
        return exit_code::Unknown;
    case 422:
        return exit_code::Invalid;
    default:
        return exit_code::Failed;
    }
}

static std::string textOf(const json::value *value)
{
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

static void printErrorBody(const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object()) {
        std::cerr << body << '\n';
        return;
    }
    const json::object &object = parsed.get_object();
    std::cerr << textOf(object.contains("error") ? object.if_contains("error") : object.if_contains("reason")) << '\n';
    const json::value *findings = object.if_contains("findings");
    if (findings == nullptr || !findings->is_array()) {
        return;
    }
    for (const json::value &finding : findings->get_array()) {
        if (finding.is_object()) {
            std::cerr << textOf(finding.get_object().if_contains("path")) << ": "
                      << textOf(finding.get_object().if_contains("message")) << '\n';
        }
    }
}

exit_code printFailure(const Platform::call_outcome &outcome, bool changing)
{
    if (outcome.failure == Platform::call_failure::None) {
        printErrorBody(outcome.response.body);
        return codeOfStatus(outcome.response.status);
    }
    if (outcome.failure == Platform::call_failure::ConnectFailed || !changing) {
        std::cerr << "no daemon answered\n";
        return exit_code::Unreachable;
    }
    std::cerr << "no daemon answered; the change may have been accepted\n";
    return exit_code::Unknown;
}
