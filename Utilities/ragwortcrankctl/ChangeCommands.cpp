#include "Commands.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <iostream>
#include <optional>
#include <thread>

DEFINE_string(until, "in_force", "what \"change wait\" waits for: in_force or done");
DEFINE_int32(wait_seconds, 30, "the longest time that \"change wait\" waits, in seconds");

namespace json = boost::json;

static constexpr std::chrono::milliseconds pollInterval {200};

static bool isNumber(const std::string &text)
{
    return !text.empty() && text.size() < 20
        && std::all_of(text.begin(), text.end(), [](unsigned char character) { return std::isdigit(character) != 0; });
}

static std::optional<json::object> parseReport(const Platform::call_outcome &outcome)
{
    if (outcome.failure != Platform::call_failure::None) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value value = json::parse(outcome.response.body, error);
    if (error || !value.is_object() || !value.get_object().contains("state")) {
        return std::nullopt;
    }
    return value.get_object();
}

static std::string joinNames(const json::value &names)
{
    std::string joined;
    for (const json::value &name : names.as_array()) {
        joined += joined.empty() ? "" : ", ";
        joined += name.as_string();
    }
    return joined;
}

static std::string describe(const std::string &number, const json::object &report)
{
    const std::string state(report.at("state").as_string());
    const std::size_t confirmed = report.at("confirmed").as_array().size();
    const std::string missing = joinNames(report.at("missing"));
    std::string line = "change " + number + ": " + state + ", " + std::to_string(confirmed) + " VMs confirmed";
    return missing.empty() ? line : line + ", missing " + missing;
}

static void printReport(const session &current, const std::string &number, const std::string &body,
                        const json::object &report)
{
    if (current.format == output_format::Json) {
        std::cout << body << '\n';
        return;
    }
    std::cout << describe(number, report) << '\n';
    for (const json::key_value_pair &rollout : report.at("rollouts").as_object()) {
        std::cout << "  rollout of " << rollout.key() << ": " << rollout.value().as_string() << '\n';
    }
}

static exit_code showStatus(session &current, const std::string &number)
{
    const Platform::call_outcome outcome = current.client.send("GET", "/v1/operator/changes/" + number);
    const std::optional<json::object> report = parseReport(outcome);
    if (!report) {
        return printFailure(outcome, false);
    }
    printReport(current, number, outcome.response.body, *report);
    return report->at("state").as_string() == "not_known" ? exit_code::Failed : exit_code::Success;
}

/// Whether a report is what the caller waits for. A change without rollouts has no further state than in_force.
static bool isReached(const json::object &report)
{
    const auto &state = report.at("state").as_string();
    if (state == "done") {
        return true;
    }
    return state == "in_force" && (FLAGS_until == "in_force" || report.at("rollouts").as_object().empty());
}

static exit_code waitForChange(session &current, const std::string &number)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_wait_seconds);
    std::string progress;
    while (true) {
        const Platform::call_outcome outcome = current.client.send("GET", "/v1/operator/changes/" + number);
        const std::optional<json::object> report = parseReport(outcome);
        if (!report) {
            return printFailure(outcome, false);
        }
        if (isReached(*report)) {
            printReport(current, number, outcome.response.body, *report);
            return exit_code::Success;
        }
        if (report->at("state").as_string() == "taken_back") {
            printReport(current, number, outcome.response.body, *report);
            return exit_code::TakenBack;
        }
        if (std::string line = describe(number, *report); line != progress) {
            progress = std::move(line);
            std::cerr << progress << '\n';
        }
        if (std::chrono::steady_clock::now() >= until) {
            std::cerr << "not " << FLAGS_until << " within " << FLAGS_wait_seconds << " s\n";
            return exit_code::TimedOut;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

exit_code runChangeCommand(session &current, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 2 || !isNumber(arguments[1])) {
        return failUsage("usage: ragwortcrankctl change status NUMBER | wait NUMBER");
    }
    if (FLAGS_until != "in_force" && FLAGS_until != "done") {
        return failUsage("--until=" + FLAGS_until + " must be in_force or done");
    }
    if (arguments[0] == "status") {
        return showStatus(current, arguments[1]);
    }
    if (arguments[0] == "wait") {
        return waitForChange(current, arguments[1]);
    }
    return failUsage("usage: ragwortcrankctl change status NUMBER | wait NUMBER");
}
