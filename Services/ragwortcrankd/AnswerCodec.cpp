#include "AnswerCodec.h"

#include "LibQuery/QueryResult.h"
#include "LibTeams/Refusal.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

static int toHttpStatus(Query::outcome outcome)
{
    switch (outcome) {
    case Query::outcome::Answered:
    case Query::outcome::Partial:
        return 200;
    case Query::outcome::NotRun:
        return 503;
    case Query::outcome::Unknown:
        return 504;
    }
    return 504;
}

Platform::http_response encodeResult(const Query::query_result &result)
{
    json::array items;
    for (const Query::result_item &item : result.items) {
        items.push_back(json::object {{"id", item.id}, {"score", item.score}});
    }
    json::object object {{"outcome", Query::outcomeName(result.result)},
                         {"request_id", result.requestId},
                         {"snapshot", result.snapshot},
                         {"coverage", result.coverage},
                         {"shards_answered", result.shardsAnswered},
                         {"shards_total", result.shardsTotal},
                         {"shard_requests", result.shardRequests},
                         {"results", std::move(items)}};
    if (!result.reason.empty()) {
        object["reason"] = result.reason;
    }
    Platform::http_response response;
    response.status = toHttpStatus(result.result);
    response.body = json::serialize(object);
    return response;
}

static Platform::http_response encodeWithoutResult(int status, Query::outcome outcome, const std::string &requestId,
                                                   const std::string &reason)
{
    Platform::http_response response;
    response.status = status;
    response.body = json::serialize(
        json::object {{"outcome", Query::outcomeName(outcome)}, {"request_id", requestId}, {"reason", reason}});
    return response;
}

Platform::http_response encodeRefusal(int status, const std::string &requestId, const std::string &reason)
{
    return encodeWithoutResult(status, Query::outcome::NotRun, requestId, reason);
}

Platform::http_response encodeUnknown(const std::string &requestId, const std::string &reason)
{
    return encodeWithoutResult(toHttpStatus(Query::outcome::Unknown), Query::outcome::Unknown, requestId, reason);
}

Platform::http_response encodeOverload(const std::string &requestId, const Teams::refusal &refused)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refused.retryAfter);
    Platform::http_response response;
    response.status = refused.reason == Teams::refusal_reason::OverShare ? 429 : 503;
    response.headers["Retry-After"] = std::to_string(seconds.count());
    response.body = json::serialize(json::object {{"outcome", "not_run"},
                                                  {"request_id", requestId},
                                                  {"reason", Teams::refusalText(refused.reason)},
                                                  {"retry_after_ms", refused.retryAfter.count()}});
    return response;
}

Platform::http_response encodeError(int status, const std::string &message, const std::vector<Core::finding> &findings)
{
    json::object object {{"error", message}};
    if (!findings.empty()) {
        json::array list;
        for (const Core::finding &finding : findings) {
            list.push_back(json::object {{"path", finding.path}, {"message", finding.message}});
        }
        object["findings"] = std::move(list);
    }
    Platform::http_response response;
    response.status = status;
    response.body = json::serialize(object);
    return response;
}
