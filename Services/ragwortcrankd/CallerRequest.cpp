#include "CallerRequest.h"

#include "LibConfiguration/Limits.h"
#include "LibCore/Try.h"
#include "LibPlatform/HttpRequest.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <string_view>

namespace json = boost::json;

static Core::error invalid(std::string message)
{
    return {Core::error_code::InvalidInput, std::move(message)};
}

static Core::result<void> readPath(const std::string &path, Query::query_request &request)
{
    const std::string prefix = "/v1/query/";
    const std::size_t slash = path.find('/', prefix.size());
    if (!path.starts_with(prefix) || slash == std::string::npos) {
        return invalid("the path must be /v1/query/{service}/{route}");
    }
    request.service = path.substr(prefix.size(), slash - prefix.size());
    request.route = path.substr(slash + 1);
    return Core::success();
}

static Core::result<void> readMember(const json::key_value_pair &member, Query::query_request &request)
{
    const std::string_view name = member.key();
    if (name == "query" || name == "key") {
        if (!member.value().is_string()) {
            return invalid("\"" + std::string(name) + "\" must be a string");
        }
        (name == "query" ? request.text : request.shardKey) = std::string(member.value().get_string());
        return Core::success();
    }
    if (name == "deadline_ms") {
        const std::int64_t *milliseconds = member.value().if_int64();
        if (milliseconds == nullptr || *milliseconds < 1
            || *milliseconds > Configuration::maximumRouteDeadline.count()) {
            return invalid("\"deadline_ms\" must be a whole number from 1 to "
                           + std::to_string(Configuration::maximumRouteDeadline.count()));
        }
        request.timeRemaining = std::chrono::milliseconds(*milliseconds);
        return Core::success();
    }
    return invalid("\"" + std::string(name) + "\" is not a known member");
}

static Core::result<void> readBody(const std::string &body, Query::query_request &request)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error) {
        return invalid("the body is not valid JSON: " + error.message());
    }
    if (!value.is_object()) {
        return invalid("the body must be a JSON object");
    }
    for (const json::key_value_pair &member : value.get_object()) {
        TRY(readMember(member, request));
    }
    return Core::success();
}

static bool isRequestId(const std::string &text)
{
    constexpr std::size_t maximumRequestIdLength = 128;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= maximumRequestIdLength
        && text.find_first_not_of(allowed) == std::string::npos;
}

Core::result<Query::query_request> decodeCallerRequest(const Platform::http_request &request)
{
    Query::query_request decoded;
    const auto id = request.headers.find("x-request-id");
    if (id != request.headers.end()) {
        if (!isRequestId(id->second)) {
            return invalid("X-Request-Id must have 1 to 128 letters, digits, dots, underscores or hyphens");
        }
        decoded.requestId = id->second;
    }
    const auto trace = request.headers.find("traceparent");
    if (trace != request.headers.end()) {
        decoded.traceParent = trace->second;
    }
    TRY(readPath(request.path, decoded));
    TRY(readBody(request.body, decoded));
    return decoded;
}
