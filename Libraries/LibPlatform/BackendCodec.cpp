#include "LibPlatform/BackendCodec.h"

#include "LibPlatform/ShardCall.h"
#include "LibQuery/ShardAnswer.h"

#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace Platform
{
namespace json = boost::json;

http_call encodeShardCall(const shard_call &call)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeRemaining).count();
    http_call encoded;
    encoded.method = "POST";
    encoded.url = "http://" + call.address + "/v1/shards/" + call.shard + "/" + call.route;
    constexpr std::size_t maximumHeaders = 6;
    encoded.headers.reserve(maximumHeaders);
    encoded.headers.emplace_back("Content-Type: application/json");
    encoded.headers.push_back("X-Request-Id: " + call.requestId);
    encoded.headers.push_back("X-Attempt-Id: " + call.attemptId);
    encoded.headers.push_back("X-Snapshot: " + call.snapshot);
    encoded.headers.push_back("X-Time-Remaining-Ms: " + std::to_string(remaining));
    if (!call.traceParent.empty()) {
        encoded.headers.push_back("traceparent: " + call.traceParent);
    }
    encoded.body = R"({"query":)" + json::serialize(json::string_view(call.text)) + "}";
    encoded.timeout = call.timeRemaining;
    encoded.responseHeaders = response_headers::Dropped;
    encoded.reuse = call.idempotent ? connection_reuse::Allowed : connection_reuse::Forbidden;
    return encoded;
}

http_call encodeCancelCall(const shard_call &call)
{
    http_call encoded;
    encoded.method = "DELETE";
    encoded.url = "http://" + call.address + "/v1/requests/" + call.attemptId;
    encoded.timeout = std::chrono::seconds(1);
    return encoded;
}

http_call encodeHealthCall(const std::string &address)
{
    http_call encoded;
    encoded.url = "http://" + address + "/v1/health";
    encoded.timeout = std::chrono::seconds(1);
    encoded.responseHeaders = response_headers::Dropped;
    // A kept connection may still belong to a process that has terminated.
    encoded.reuse = connection_reuse::Forbidden;
    return encoded;
}

static std::string stringMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

static bool booleanMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

static double numberMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0.0;
}

static bool decodeItems(const json::object &object, std::vector<Query::result_item> &items)
{
    const json::value *results = object.if_contains("results");
    if (results == nullptr || !results->is_array()) {
        return false;
    }
    for (const json::value &result : results->get_array()) {
        if (!result.is_object()) {
            return false;
        }
        items.push_back({stringMember(result.get_object(), "id"), numberMember(result.get_object(), "score")});
    }
    return true;
}

static Backend::replica_report decodeReport(const json::object &object)
{
    Backend::replica_report report;
    report.incarnation = stringMember(object, "incarnation");
    report.load = numberMember(object, "load");
    report.cold = booleanMember(object, "cold");
    report.leaving = booleanMember(object, "leaving");
    return report;
}

std::optional<Backend::replica_report> decodeHealth(const call_outcome &outcome)
{
    if (outcome.failure != call_failure::None || outcome.response.status != 200) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value value = json::parse(outcome.response.body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    Backend::replica_report report = decodeReport(value.get_object());
    return report.incarnation.empty() ? std::nullopt : std::make_optional(std::move(report));
}

static Backend::attempt_failure convertFailure(call_failure failure)
{
    switch (failure) {
    case call_failure::ConnectFailed:
        return Backend::attempt_failure::ConnectFailed;
    case call_failure::TimedOut:
        return Backend::attempt_failure::ResponseTimeout;
    case call_failure::InvalidResponse:
        return Backend::attempt_failure::InvalidResponse;
    case call_failure::ConnectionLost:
    case call_failure::None:
        return Backend::attempt_failure::ConnectionLost;
    }
    return Backend::attempt_failure::ConnectionLost;
}

std::variant<Query::shard_answer, Backend::failed_attempt> decodeShardAnswer(const call_outcome &outcome)
{
    if (outcome.failure != call_failure::None) {
        return Backend::failed_attempt(convertFailure(outcome.failure));
    }
    // Most responses fit into this buffer and are then parsed without heap allocation.
    constexpr std::size_t typicalResponseBytes = 8192;
    std::array<unsigned char, typicalResponseBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    json::monotonic_resource resource(buffer.data(), buffer.size());
    boost::system::error_code error;
    const json::value value = json::parse(outcome.response.body, error, &resource);
    if (error || !value.is_object()) {
        return Backend::failed_attempt(Backend::attempt_failure::InvalidResponse);
    }
    const json::object &object = value.get_object();
    if (booleanMember(object, "snapshot_gone")) {
        return Backend::failed_attempt(Backend::attempt_failure::SnapshotGone, decodeReport(object));
    }
    if (booleanMember(object, "not_run")) {
        return Backend::failed_attempt(Backend::attempt_failure::NotRun, decodeReport(object));
    }
    if (booleanMember(object, "cancelled")) {
        return Backend::failed_attempt(Backend::attempt_failure::Cancelled, decodeReport(object));
    }
    Query::shard_answer answer;
    if (outcome.response.status != 200 || !decodeItems(object, answer.items)) {
        return Backend::failed_attempt(Backend::attempt_failure::InvalidResponse);
    }
    answer.requestId = stringMember(object, "request_id");
    answer.snapshot = stringMember(object, "snapshot");
    answer.shard = stringMember(object, "shard");
    answer.report = decodeReport(object);
    return answer;
}
} // namespace Platform
