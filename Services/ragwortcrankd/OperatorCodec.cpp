#include "OperatorCodec.h"

#include "AnswerCodec.h"
#include "LibConfiguration/ChangeReport.h"
#include "LibConfiguration/PatchAnswer.h"
#include "Settings.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>
#include <vector>

namespace json = boost::json;

static Platform::http_response respondWith(int status, const json::object &body)
{
    Platform::http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

static Platform::http_response refuse(int status, const char *state, std::uint64_t number, const std::string &message)
{
    json::object body {{"state", state}, {"error", message}};
    if (number > 0) {
        body["current_number"] = number;
    }
    return respondWith(status, body);
}

Platform::http_response encodePatchAnswer(const Configuration::patch_answer &answer)
{
    using Configuration::patch_result;
    const std::string current = std::to_string(answer.number);
    switch (answer.result) {
    case patch_result::Accepted:
        return respondWith(200, {{"number", answer.number}, {"state", "accepted"}});
    case patch_result::Stale:
        return respondWith(409,
                           {{"state", "stale"},
                            {"error", "the base number is stale; the current number is " + current},
                            {"current_number", answer.number}});
    case patch_result::IdExpired:
        return refuse(410, "unknown", answer.number,
                      "not applied now, but the patch id is older than the ids kept at number " + current
                          + ": an earlier send of this patch may have been accepted; read the configuration");
    case patch_result::Invalid:
        return encodeError(422, "the patch is not valid", answer.findings);
    case patch_result::NotWritten:
        return refuse(
            503, "not_written", answer.number,
            "the store cannot be reached, or holds an older configuration than the one in force; nothing was written");
    case patch_result::Unknown:
        break;
    }
    return refuse(504, "unknown", answer.number,
                  "the patch may have been accepted; send it again with the same patch id to find out");
}

static json::array encodeNames(const std::vector<std::string> &names)
{
    json::array array;
    for (const std::string &name : names) {
        array.emplace_back(name);
    }
    return array;
}

Platform::http_response encodeChange(const Configuration::change_report &report)
{
    json::object body {{"number", report.number},
                       {"current_number", report.currentNumber},
                       {"state", Configuration::changeStateName(report.state)},
                       {"confirmed", encodeNames(report.confirmed)},
                       {"missing", encodeNames(report.missing)}};
    json::object rollouts;
    for (const auto &[service, state] : report.rollouts) {
        rollouts[service] = Configuration::changeStateName(state);
    }
    body["rollouts"] = std::move(rollouts);
    body["data_centres_out"] = encodeNames(report.dataCentresOut);
    body["data_centres_in"] = encodeNames(report.dataCentresIn);
    return respondWith(report.state == Configuration::change_state::NotKnown ? 404 : 200, body);
}

Platform::http_response encodeStatus(const settings &daemonSettings, std::uint64_t numberInForce,
                                     const std::map<std::string, std::uint64_t> &numbers)
{
    json::object members;
    for (const auto &[virtualMachine, number] : numbers) {
        members[virtualMachine] = json::object {{"number", number}};
    }
    return respondWith(200,
                       {{"vm", daemonSettings.virtualMachine},
                        {"data_centre", daemonSettings.dataCentre},
                        {"number", numberInForce},
                        {"members", std::move(members)}});
}
